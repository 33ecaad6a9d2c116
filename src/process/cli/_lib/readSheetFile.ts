import { readFile } from 'node:fs/promises';

import { parseSheet } from '../../../version/parseSheet/index.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { SheetFault } from '../../../version/parseSheet/index.js';

/** Content of a valid sheet file. */
export interface SheetFileContent {
  bytes: Uint8Array;
  configuration: Configuration;
}

/** Formats a fault in a sheet as one line. */
export const formatSheetFault = (path: string, fault: SheetFault): string => {
  const place = [
    ...(fault.row > 0 ? [`row ${fault.row}`] : []),
    ...(fault.column === '' ? [] : [`column ${fault.column}`]),
  ].join(', ');
  const value = fault.value === '' ? 'empty' : JSON.stringify(fault.value);
  return `${path}: ${place === '' ? '' : `${place}: `}${value}: expected ${fault.expected}`;
};

const readBytes = async (path: string): Promise<Uint8Array> => {
  try {
    return await readFile(path);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(ExitCode.BadInput, [`${path}: ${reason}`]);
  }
};

/**
 * Reads and validates a sheet file.
 *
 * @param path - CSV file
 * @param version - version number of the resulting configuration
 * @returns the bytes of the file and the parsed configuration
 * @throws CommandError if the file can't be read, or with one line per fault if it is invalid
 */
export const readSheetFile = async (path: string, version: number): Promise<SheetFileContent> => {
  const bytes = await readBytes(path);
  const parsed = parseSheet(bytes, { version });
  if (parsed.isOk()) return { bytes, configuration: parsed.value };
  const lines = parsed.error.faults.map((fault) => formatSheetFault(path, fault));
  throw new CommandError(ExitCode.BadInput, lines);
};
