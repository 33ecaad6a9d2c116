import type { SheetColumn, SheetFault } from '../types.js';

const MAX_SHOWN_LENGTH = 80;

/** Shortens a value for a fault, so that one bad cell can't fill the terminal. */
export const shortenValue = (value: string): string =>
  value.length <= MAX_SHOWN_LENGTH ? value : `${value.slice(0, MAX_SHOWN_LENGTH)}...`;

/** Creates a fault of one cell. */
export const createFault = (
  row: number,
  column: SheetColumn | '',
  value: string,
  expected: string,
): SheetFault => ({ row, column, value: shortenValue(value), expected });
