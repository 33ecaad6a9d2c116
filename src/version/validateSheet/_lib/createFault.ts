import type { SheetColumn, SheetFault } from '../types.js';

const MAX_DISPLAY_LENGTH = 80;

/** Truncates a value for display, so that one long cell can't fill the terminal. */
export const truncateValue = (value: string): string =>
  value.length <= MAX_DISPLAY_LENGTH ? value : `${value.slice(0, MAX_DISPLAY_LENGTH)}...`;

/** Creates a fault at one cell; with an empty column it concerns the whole row. */
export const createFault = (
  row: number,
  column: SheetColumn | '',
  value: string,
  expected: string,
): SheetFault => ({ row, column, value: truncateValue(value), expected });
