import { readFile } from 'node:fs/promises';

import type { Command } from 'commander';
import {
  describeSettingsFault,
  readControlSettings,
  readNodeSettings,
} from '../../settings/index.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

import type Terminal from '../_lib/Terminal.js';

const HELP = `
Examples:
  $ foxtailvane check-settings control.ini
  $ foxtailvane check-settings node.ini --json

A file with a [node] section is checked as the settings of a node, any other as those of a control
VM. Files and folders that the settings refer to are checked too, so run the command on the VM of
the daemon and as its user.`;

const NODE_SECTION_PATTERN = /^\s*\[node\]\s*$/m;

const isNodeSettingsFile = async (path: string): Promise<boolean> => {
  try {
    return NODE_SECTION_PATTERN.test(await readFile(path, 'utf8'));
  } catch {
    // readControlSettings reports why the file can't be read.
    return false;
  }
};

const runCheckSettings = async (
  path: string,
  options: { json?: boolean },
  terminal: Terminal,
): Promise<void> => {
  const isNode = await isNodeSettingsFile(path);
  const settings = isNode ? await readNodeSettings(path) : await readControlSettings(path);
  const program = isNode ? 'node' : 'control';
  const faults = settings.isErr() ? settings.error.faults : [];
  if (options.json) terminal.print(JSON.stringify({ program, valid: settings.isOk(), faults }));
  if (settings.isErr()) {
    const lines = settings.error.faults.map((fault) => `${path}: ${describeSettingsFault(fault)}`);
    throw new CommandError(ExitCode.BadInput, lines);
  }
  if (!options.json) terminal.print(`${path}: valid settings of foxtailvane ${program}`);
};

/**
 * Adds `foxtailvane check-settings`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addCheckSettingsCommand = (program: Command, terminal: Terminal): void => {
  program
    .command('check-settings <file>')
    .description('check a settings file and the files it refers to')
    .option('--json', 'print the faults as JSON')
    .addHelpText('after', HELP)
    .action((path: string, options: { json?: boolean }) =>
      runCheckSettings(path, options, terminal),
    );
};

export default addCheckSettingsCommand;
