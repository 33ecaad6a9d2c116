/** The columns, row kinds and faults of a sheet. */

/** Columns of the sheet, all required in the header, in any order. */
export enum SheetColumn {
  Kind = 'kind',
  Name = 'name',
  Host = 'host',
  PathPrefix = 'path_prefix',
  Methods = 'methods',
  Service = 'service',
  WeightPercent = 'weight_percent',
  Idempotent = 'idempotent',
  TimeoutMs = 'timeout_ms',
  MaxAttempts = 'max_attempts',
  Slots = 'slots',
  Connections = 'connections',
}

/** Kind of object that a row declares. */
export enum SheetRowKind {
  Service = 'service',
  Route = 'route',
}

/** One reason why a sheet is refused. */
export interface SheetFault {
  /** Line in the file, counted from 1 for the header; 0 when the fault concerns the whole sheet. */
  row: number;
  /** Column name; empty when the fault concerns the whole row. */
  column: string;
  /** The value as written, shortened when long. */
  value: string;
  /** What is expected instead. */
  expected: string;
}

/** One data row of a sheet; a column that the header lacks is absent. */
export interface SheetRow {
  /** Line in the file, counted from 1 for the header. */
  row: number;
  cells: ReadonlyMap<SheetColumn, string>;
}
