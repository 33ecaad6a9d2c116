import { SheetColumn, SheetRowKind } from '../types.js';
import { CELL_RULES, COLUMNS_BY_KIND } from './cellRules.js';
import { createFault } from './createFault.js';

import type { SheetFault, SheetRow } from '../types.js';

/** Replaces invalid UTF-8 bytes in decoded text. */
const REPLACEMENT_CHARACTER = '\uFFFD';

const findKind = (row: SheetRow): SheetRowKind | undefined =>
  Object.values(SheetRowKind).find((kind) => kind === row.cells.get(SheetColumn.Kind));

const describeMismatch = (
  column: SheetColumn,
  value: string,
  kind: SheetRowKind | undefined,
): string | undefined => {
  if (value.includes(REPLACEMENT_CHARACTER)) return 'text in valid UTF-8';
  const rule = CELL_RULES[column];
  if (column === SheetColumn.Kind) return rule.accepts(value) ? undefined : rule.expected;
  if (!kind) return undefined;
  if (COLUMNS_BY_KIND[kind].has(column)) return rule.accepts(value) ? undefined : rule.expected;
  return value === '' ? undefined : `an empty cell in a ${kind} row`;
};

/**
 * Lists the invalid cells of a row, without comparing it with other rows.
 *
 * @param row - a data row
 */
const findCellFaults = (row: SheetRow): SheetFault[] => {
  const kind = findKind(row);
  return [...row.cells].flatMap(([column, value]) => {
    const expected = describeMismatch(column, value, kind);
    return expected === undefined ? [] : [createFault(row.row, column, value, expected)];
  });
};

export default findCellFaults;
