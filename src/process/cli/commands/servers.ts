import type { Command } from 'commander';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import formatTable from '../_lib/formatTable.js';
import { fetchResource } from '../_lib/fetchResource.js';

import type { ListedServer } from '../../operatorApi/types.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type Terminal from '../_lib/Terminal.js';

interface ServersOptions extends ConnectionOptions {
  json?: boolean;
}

const HELP = `
Examples:
  $ foxtailvane servers --control 10.0.0.5:7401 --token-file token
  $ foxtailvane servers --control 10.0.0.5:7401 --token-file token --json`;

const HEADER = ['service', 'server', 'state', 'node', 'data centre', 'slots', 'connections'];

const formatRow = (server: ListedServer): string[] => [
  server.service,
  server.serverId,
  server.isNodeDraining ? `${server.state}, node draining` : server.state,
  server.node,
  server.dataCentre,
  String(server.slots),
  String(server.connections),
];

const runServers = async (options: ServersOptions, terminal: Terminal): Promise<void> => {
  const servers = await withClient(options, (client) =>
    fetchResource<ListedServer[]>(client, '/v1/servers'),
  );
  if (options.json) terminal.print(JSON.stringify(servers));
  else formatTable(HEADER, servers.map(formatRow)).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane servers`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addServersCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('servers')
    .description('list the backend servers that nodes have announced')
    .option('--json', 'print the list as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command).action((options: ServersOptions) => runServers(options, terminal));
};

export default addServersCommand;
