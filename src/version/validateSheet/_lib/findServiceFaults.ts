import { SheetColumn } from '../types.js';
import { createFault } from './createFault.js';

import type { SheetFault, SheetRow } from '../types.js';

/**
 * Lists the service rows whose name is already declared by an earlier row.
 *
 * @param rows - service rows in the order of the sheet
 */
const findServiceFaults = (rows: SheetRow[]): SheetFault[] => {
  const firstRows = new Map<string, number>();
  return rows.flatMap((row) => {
    const name = row.cells.get(SheetColumn.Name) ?? '';
    const first = firstRows.get(name);
    if (name === '') return [];
    if (first === undefined) {
      firstRows.set(name, row.row);
      return [];
    }
    const expected = `a service name that is not declared yet (declared in row ${first})`;
    return [createFault(row.row, SheetColumn.Name, name, expected)];
  });
};

export default findServiceFaults;
