/** Parses the sheet of an operator into a configuration. */
import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { createFault } from '../validateSheet/_lib/createFault.js';
import { validateSheet } from '../validateSheet/index.js';
import { SheetColumn, SheetRowKind } from '../validateSheet/types.js';
import buildConfiguration from './_lib/buildConfiguration.js';
import { parseRows } from './_lib/parseRows.js';
import { SheetError, SheetErrorCode } from './SheetError.js';

import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { SheetFault, SheetRow } from '../validateSheet/types.js';

export { MAX_SHEET_LINES } from './_lib/parseRows.js';
export { SheetError, SheetErrorCode } from './SheetError.js';
export { SheetColumn, SheetRowKind } from '../validateSheet/types.js';
export type { SheetFault } from '../validateSheet/types.js';

/** Maximum size of a sheet; a mesh of the size designed for needs about 20 kB. */
export const MAX_SHEET_BYTES = 1024 * 1024;

export interface ParseSheetOptions {
  /** Version number of the resulting configuration. */
  version: number;
}

const findSizeFaults = (sizeBytes: number): SheetFault[] =>
  sizeBytes <= MAX_SHEET_BYTES
    ? []
    : [createFault(0, '', `${sizeBytes} bytes`, `at most ${MAX_SHEET_BYTES} bytes`)];

/** Requires a service: a sheet without one is a failed export and would remove everything. */
const findEmptySheetFaults = (rows: SheetRow[]): SheetFault[] =>
  rows.some((row) => row.cells.get(SheetColumn.Kind) === SheetRowKind.Service)
    ? []
    : [createFault(0, SheetColumn.Kind, '', 'at least one service row')];

const findAllFaults = (rows: SheetRow[], formatFaults: SheetFault[]): SheetFault[] => {
  const rowFaults = validateSheet(rows);
  const faults = [...formatFaults, ...rowFaults].toSorted((left, right) => left.row - right.row);
  return faults.length > 0 ? faults : findEmptySheetFaults(rows);
};

/**
 * Parses and validates a sheet.
 *
 * @param sheet - CSV in UTF-8, with or without a byte order mark
 * @param options - version number of the resulting configuration
 * @returns the configuration with its content hash, sorted by name; TooLarge when the sheet exceeds
 *   the size limit; otherwise Invalid with all faults
 *
 * @example
 * const parsed = parseSheet(await readFile('sheet.csv'), { version: 12 });
 * if (parsed.isErr()) parsed.error.faults.forEach((fault) => console.error(fault));
 */
export const parseSheet = (
  sheet: string | Uint8Array,
  options: ParseSheetOptions,
): Result<Configuration, SheetError> => {
  const sizeBytes = typeof sheet === 'string' ? Buffer.byteLength(sheet) : sheet.length;
  const sizeFaults = findSizeFaults(sizeBytes);
  if (sizeFaults.length > 0) return err(new SheetError(SheetErrorCode.TooLarge, sizeFaults));
  // Invalid UTF-8 bytes become U+FFFD, which validateSheet reports with row and column.
  const text = typeof sheet === 'string' ? sheet : new TextDecoder().decode(sheet);
  const { rows, faults: formatFaults } = parseRows(text);
  const faults = findAllFaults(rows, formatFaults);
  if (faults.length > 0) return err(new SheetError(SheetErrorCode.Invalid, faults));
  return ok(buildConfiguration(rows, options.version));
};
