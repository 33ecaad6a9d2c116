import type { Command } from 'commander';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import formatTable from '../_lib/formatTable.js';
import { fetchResource } from '../_lib/fetchResource.js';

import type { VersionHolder } from '../../replication/ControlLog/index.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type Terminal from '../_lib/Terminal.js';

interface HistoryOptions extends ConnectionOptions {
  json?: boolean;
}

const HELP = `
Examples:
  $ foxtailvane history --control 10.0.0.5:7401 --token-file token
  $ foxtailvane history --control 10.0.0.5:7401 --token-file token --json`;

const HEADER = ['version', 'accepted at', 'operator', 'request id', 'content'];
const SHOWN_HASH_LENGTH = 12;

const formatRow = (holder: VersionHolder): string[] => [
  String(holder.version),
  new Date(holder.acceptedAtMs).toISOString(),
  holder.operator,
  holder.requestId,
  holder.contentHash.slice(0, SHOWN_HASH_LENGTH),
];

const runHistory = async (options: HistoryOptions, terminal: Terminal): Promise<void> => {
  const history = await withClient(options, (client) =>
    fetchResource<VersionHolder[]>(client, '/v1/history'),
  );
  if (options.json) terminal.print(JSON.stringify(history));
  else formatTable(HEADER, history.map(formatRow)).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane history`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addHistoryCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('history')
    .description('list the accepted versions, oldest first')
    .option('--json', 'print the list as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command).action((options: HistoryOptions) => runHistory(options, terminal));
};

export default addHistoryCommand;
