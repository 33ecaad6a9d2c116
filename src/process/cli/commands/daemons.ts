import type { Command } from 'commander';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

interface DaemonOptions {
  settings: string;
}

interface DaemonModule {
  default: (settingsPath: string) => Promise<ExitCode>;
}

const HELP_CONTROL = `
Examples:
  $ foxtailvane control --settings /etc/foxtailvane/control.ini`;

const HELP_NODE = `
Examples:
  $ foxtailvane node --settings /etc/foxtailvane/node.ini`;

const SETTINGS_OPTION = '--settings <file>';
const SETTINGS_HELP = 'settings file of this process (INI)';

const runDaemonModule = async (
  load: () => Promise<DaemonModule>,
  { settings }: DaemonOptions,
): Promise<void> => {
  const daemon = await load();
  const exitCode = await daemon.default(settings);
  // The daemon has already printed its errors.
  if (exitCode !== ExitCode.Done) throw new CommandError(exitCode, []);
};

/** Adds `foxtailvane control` and `foxtailvane node`, which run a daemon until it is stopped. */
const addDaemonCommands = (program: Command): void => {
  program
    .command('control')
    .description('run a control VM: replicated log, distribution, operator API')
    .requiredOption(SETTINGS_OPTION, SETTINGS_HELP)
    .addHelpText('after', HELP_CONTROL)
    .action((options: DaemonOptions) =>
      runDaemonModule(() => import('../../control/main.js'), options),
    );
  program
    .command('node')
    .description('run the node of a backend server VM: configuration in force, request path')
    .requiredOption(SETTINGS_OPTION, SETTINGS_HELP)
    .addHelpText('after', HELP_NODE)
    .action((options: DaemonOptions) =>
      runDaemonModule(() => import('../../node/main.js'), options),
    );
};

export default addDaemonCommands;
