import type { SheetFault } from '../validateSheet/types.js';

/** Reason why a sheet is refused. */
export enum SheetErrorCode {
  TooLarge = 'SHEET_TOO_LARGE',
  Invalid = 'SHEET_INVALID',
}

/** A sheet that can't be parsed into a configuration, with all of its faults. */
export class SheetError extends Error {
  readonly code: SheetErrorCode;

  readonly faults: SheetFault[];

  constructor(code: SheetErrorCode, faults: SheetFault[]) {
    super(`the sheet has ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`);
    this.name = 'SheetError';
    this.code = code;
    this.faults = faults;
  }
}
