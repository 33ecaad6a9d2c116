/** Checks the files and folders that a settings file refers to. */
import { constants } from 'node:fs';
import { access, stat } from 'node:fs/promises';
import { dirname, resolve } from 'node:path';

import { LogStream } from '../types.js';

import type { SettingsFault } from '../SettingsError.js';
import type { Sections } from './parseIni.js';

const isFolder = async (path: string): Promise<boolean> => {
  try {
    return (await stat(path)).isDirectory();
  } catch {
    return false;
  }
};

const isAccessible = async (path: string, mode: number): Promise<boolean> => {
  try {
    await access(path, mode);
    return true;
  } catch {
    return false;
  }
};

const isWritableFolder = async (path: string): Promise<boolean> =>
  (await isFolder(path)) && isAccessible(path, constants.W_OK);

const isReadableFile = async (path: string): Promise<boolean> =>
  !(await isFolder(path)) && isAccessible(path, constants.R_OK);

const isWritableLogDestination = async (path: string): Promise<boolean> =>
  !(await isFolder(path)) && isAccessible(dirname(path), constants.W_OK);

interface FileRule {
  section: string;
  key: string;
  expected: string;
  isUsable: (path: string) => Promise<boolean>;
}

const createFileRule = (section: string, key: string): FileRule => ({
  section,
  key,
  expected: 'an existing file that this user can read',
  isUsable: isReadableFile,
});

const SHARED_RULES: FileRule[] = [
  createFileRule('tls', 'key'),
  createFileRule('tls', 'certificate'),
  createFileRule('tls', 'ca'),
  {
    section: 'log',
    key: 'destination',
    expected: 'stdout, stderr or a file in an existing folder that this user can write to',
    isUsable: isWritableLogDestination,
  },
];

/** Files and folders in the settings of a node. */
export const NODE_FILE_RULES = SHARED_RULES;

/** Files and folders in the settings of a control VM. */
export const CONTROL_FILE_RULES: FileRule[] = [
  {
    section: 'control',
    key: 'data_folder',
    expected: 'an existing folder that this user can write to',
    isUsable: isWritableFolder,
  },
  createFileRule('operator', 'token_file'),
  ...SHARED_RULES,
];

const isStandardStream = (value: string): boolean =>
  Object.values<string>(LogStream).includes(value);

/**
 * Lists the files and folders that can't be used. Missing keys are not reported here, but by the
 * parser.
 *
 * @param sections - sections of the settings file
 * @param rules - the keys to check, with the requirement of each
 * @param baseFolder - folder that relative paths are resolved against
 */
export const findFileFaults = async (
  sections: Sections,
  rules: FileRule[],
  baseFolder: string,
): Promise<SettingsFault[]> => {
  const faults = await Promise.all(
    rules.map(async ({ section, key, expected, isUsable }) => {
      const value = sections[section]?.[key] ?? '';
      if (value === '' || (section === 'log' && isStandardStream(value))) return [];
      const usable = await isUsable(resolve(baseFolder, value));
      return usable ? [] : [{ section, key, value, expected }];
    }),
  );
  return faults.flat();
};
