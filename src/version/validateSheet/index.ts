/** Validation of the rows of a sheet, as a whole. */
import findCellFaults from './_lib/findCellFaults.js';
import findRouteFaults from './_lib/findRouteFaults.js';
import findServiceFaults from './_lib/findServiceFaults.js';
import { SheetColumn, SheetRowKind } from './types.js';

import type { SheetFault, SheetRow } from './types.js';

export type { SheetFault, SheetRow } from './types.js';

const selectKind = (rows: SheetRow[], kind: SheetRowKind): SheetRow[] =>
  rows.filter((row) => row.cells.get(SheetColumn.Kind) === kind);

const COLUMNS: string[] = Object.values(SheetColumn);

const comparePlaces = (left: SheetFault, right: SheetFault): number =>
  left.row - right.row || COLUMNS.indexOf(left.column) - COLUMNS.indexOf(right.column);

/** Each cell is named once: the fault of the cell itself precedes those found by comparison. */
const dropRepeatedCells = (faults: SheetFault[]): SheetFault[] => {
  const seen = new Set<string>();
  return faults.filter((fault) => {
    const cell = `${fault.row} ${fault.column}`;
    const isNew = !seen.has(cell);
    seen.add(cell);
    return isNew;
  });
};

/**
 * Lists every fault of the data rows of a sheet, in the order of rows and columns.
 *
 * @param rows - all data rows; a column that the header lacks is not checked
 * @returns an empty list when the rows form a valid configuration
 *
 * @example
 * validateSheet(rows).map(({ row, column, expected }) => `${row} ${column}: ${expected}`);
 */
export const validateSheet = (rows: SheetRow[]): SheetFault[] => {
  const services = selectKind(rows, SheetRowKind.Service);
  const routes = selectKind(rows, SheetRowKind.Route);
  const declared = new Set(services.map((row) => row.cells.get(SheetColumn.Name) ?? ''));
  const faults = [
    ...rows.flatMap(findCellFaults),
    ...findServiceFaults(services),
    ...findRouteFaults(routes, declared),
  ];
  return dropRepeatedCells(faults).toSorted(comparePlaces);
};
