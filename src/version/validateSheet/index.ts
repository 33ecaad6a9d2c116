/** Validates the data rows of a sheet. */
import findCellFaults from './_lib/findCellFaults.js';
import findRouteFaults from './_lib/findRouteFaults.js';
import findServiceFaults from './_lib/findServiceFaults.js';
import { SheetColumn, SheetRowKind } from './types.js';

import type { SheetFault, SheetRow } from './types.js';

export type { SheetFault, SheetRow } from './types.js';

const selectRowsOfKind = (rows: SheetRow[], kind: SheetRowKind): SheetRow[] =>
  rows.filter((row) => row.cells.get(SheetColumn.Kind) === kind);

const COLUMNS: string[] = Object.values(SheetColumn);

const comparePositions = (left: SheetFault, right: SheetFault): number =>
  left.row - right.row || COLUMNS.indexOf(left.column) - COLUMNS.indexOf(right.column);

/** Keeps the first fault of each cell; a fault of the cell itself precedes those across rows. */
const keepFirstFaultOfCell = (faults: SheetFault[]): SheetFault[] => {
  const seen = new Set<string>();
  return faults.filter((fault) => {
    const cell = `${fault.row} ${fault.column}`;
    const isNew = !seen.has(cell);
    seen.add(cell);
    return isNew;
  });
};

/**
 * Lists the faults of the data rows of a sheet, ordered by row and column.
 *
 * @param rows - all data rows; a column that the header lacks is not checked
 * @returns an empty list when the rows form a valid configuration
 *
 * @example
 * validateSheet(rows).map(({ row, column, expected }) => `${row} ${column}: ${expected}`);
 */
export const validateSheet = (rows: SheetRow[]): SheetFault[] => {
  const services = selectRowsOfKind(rows, SheetRowKind.Service);
  const routes = selectRowsOfKind(rows, SheetRowKind.Route);
  const declaredServices = new Set(services.map((row) => row.cells.get(SheetColumn.Name) ?? ''));
  const faults = [
    ...rows.flatMap(findCellFaults),
    ...findServiceFaults(services),
    ...findRouteFaults(routes, declaredServices),
  ];
  return keepFirstFaultOfCell(faults).toSorted(comparePositions);
};
