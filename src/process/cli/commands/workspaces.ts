import type { Command } from 'commander';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import formatTable from '../_lib/formatTable.js';
import { fetchResource } from '../_lib/fetchResource.js';

import type { WorkspaceStatus } from '../../quotas/ShareComputer/index.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type Terminal from '../_lib/Terminal.js';

interface WorkspacesOptions extends ConnectionOptions {
  json?: boolean;
}

const HELP = `
Rates are requests per second over all nodes, within the last seconds.

Examples:
  $ foxtailvane workspaces --control 10.0.0.5:7401 --token-file token
  $ foxtailvane workspaces --control 10.0.0.5:7401 --token-file token --json`;

const HEADER = ['workspace', 'quota', 'offered', 'passed on', 'over quota', 'left', 'state'];
const DIGITS = 1;

const formatRow = (status: WorkspaceStatus): string[] => [
  status.workspace,
  ...[
    status.ratePerSecond,
    status.offeredPerSecond,
    status.admittedPerSecond,
    Math.max(0, status.offeredPerSecond - status.admittedPerSecond),
    status.left,
  ].map((value) => value.toFixed(DIGITS)),
  status.isTight ? 'near its quota' : 'has room',
];

const runWorkspaces = async (options: WorkspacesOptions, terminal: Terminal): Promise<void> => {
  const workspaces = await withClient(options, (client) =>
    fetchResource<WorkspaceStatus[]>(client, '/v1/workspaces'),
  );
  if (options.json) terminal.print(JSON.stringify(workspaces));
  else formatTable(HEADER, workspaces.map(formatRow)).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane workspaces`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addWorkspacesCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('workspaces')
    .description('show how much of their quotas the workspaces use')
    .option('--json', 'print the list as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command).action((options: WorkspacesOptions) =>
    runWorkspaces(options, terminal),
  );
};

export default addWorkspacesCommand;
