/** Reads and validates the INI settings files of the daemons, reporting all faults at once. */
import { readFile } from 'node:fs/promises';
import { dirname, resolve } from 'node:path';

import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { CONTROL_FILE_RULES, NODE_FILE_RULES, findFileFaults } from './_lib/findFileFaults.js';
import { parseControlSettings } from './_lib/parseControlSettings.js';
import parseNodeSettings from './_lib/parseNodeSettings.js';
import { parseIni } from './_lib/parseIni.js';
import { SettingsError, SettingsErrorCode } from './SettingsError.js';

import type { ParseSettingsOptions } from './_lib/parseControlSettings.js';
import type { ControlSettings, NodeSettings } from './types.js';

export { default as describeSettingsFault } from './_lib/describeSettingsFault.js';
export { parseAddress } from './_lib/fields.js';
export { parseControlSettings } from './_lib/parseControlSettings.js';
export { default as parseNodeSettings } from './_lib/parseNodeSettings.js';
export { SettingsError, SettingsErrorCode } from './SettingsError.js';
export { LogStream } from './types.js';
export type { AddressParts } from './_lib/fields.js';
export type { ParseSettingsOptions } from './_lib/parseControlSettings.js';
export type { SettingsFault } from './SettingsError.js';
export type {
  ControlAddresses,
  ControlSettings,
  LogSettings,
  MemberSettings,
  NodeSettings,
  RequestSettings,
  TimingSettings,
  TlsSettings,
} from './types.js';

/** Maximum size of a settings file in bytes. */
const MAX_SETTINGS_BYTES = 256 * 1024;

const createFileError = (path: string, expected: string): SettingsError =>
  new SettingsError(SettingsErrorCode.Unreadable, [
    { section: '', key: '', value: path, expected },
  ]);

const readText = async (path: string): Promise<Result<string, SettingsError>> => {
  try {
    const bytes = await readFile(path);
    if (bytes.length > MAX_SETTINGS_BYTES) {
      return err(createFileError(path, `a file of at most ${MAX_SETTINGS_BYTES} bytes`));
    }
    return ok(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return err(createFileError(path, `a readable settings file in UTF-8 (${reason})`));
  }
};

const readSettings = async <Settings>(
  path: string,
  parse: (text: string, options: ParseSettingsOptions) => Result<Settings, SettingsError>,
  fileRules: typeof CONTROL_FILE_RULES,
): Promise<Result<Settings, SettingsError>> => {
  const text = await readText(path);
  if (text.isErr()) return err(text.error);
  const baseFolder = dirname(resolve(path));
  const parsed = parse(text.value, { baseFolder });
  const { sections } = parseIni(text.value);
  const fileFaults = await findFileFaults(sections, fileRules, baseFolder);
  const faults = [...(parsed.isErr() ? parsed.error.faults : []), ...fileFaults];
  return faults.length > 0 ? err(new SettingsError(SettingsErrorCode.Invalid, faults)) : parsed;
};

/**
 * Reads the settings file of a control VM and checks the files and folders it refers to.
 *
 * @param path - path of the INI file; relative paths in it are resolved against its folder
 * @returns the settings, or an error with all faults
 *
 * @example
 * const settings = await readControlSettings('/etc/foxtailvane/control.ini');
 */
export const readControlSettings = (
  path: string,
): Promise<Result<ControlSettings, SettingsError>> =>
  readSettings(path, parseControlSettings, CONTROL_FILE_RULES);

/**
 * Reads the settings file of a node and checks the files it refers to.
 *
 * @param path - path of the INI file; relative paths in it are resolved against its folder
 * @returns the settings, or an error with all faults
 */
export const readNodeSettings = (path: string): Promise<Result<NodeSettings, SettingsError>> =>
  readSettings(path, parseNodeSettings, NODE_FILE_RULES);
