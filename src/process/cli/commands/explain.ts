import { request } from 'undici';

import type { Command } from 'commander';
import type { ListedServer } from '../../operatorApi/types.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type { ExplainQuery, Explanation } from '../../node/_lib/explainRoute.js';
import type Terminal from '../_lib/Terminal.js';
import { compileConfiguration } from '../../../version/compileConfiguration/index.js';
import { explainRoute } from '../../node/_lib/explainRoute.js';
import { addConnectionOptions, parseHostPort, withClient } from '../_lib/connectionOptions.js';
import createServerIndex from '../_lib/createServerIndex.js';
import formatTable from '../_lib/formatTable.js';
import { fetchResource } from '../_lib/fetchResource.js';
import fetchCommittedConfiguration from '../_lib/fetchCommittedConfiguration.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

interface ExplainOptions extends Partial<ConnectionOptions>, ExplainQuery {
  node?: string;
  timeoutMs: number;
  json?: boolean;
}

const HELP = `
Examples:
  $ foxtailvane explain --host desk.example --path /stock/7 --method GET \\
      --control 10.0.0.5:7401 --token-file token
  $ foxtailvane explain --host desk.example --path /stock/7 --method GET --node 127.0.0.1:8083

With --control, the route is computed from the accepted version and the announced servers. With
--node (local_listen of a node, reachable only on its VM), the node reports how it would route the
request now.`;

const explainFromControl = (
  options: ConnectionOptions,
  query: ExplainQuery,
): Promise<Explanation> =>
  withClient(options, async (client) => {
    const committed = await fetchCommittedConfiguration(client);
    const servers = await fetchResource<ListedServer[]>(client, '/v1/servers');
    const compiled = committed && compileConfiguration(committed);
    if (compiled?.isErr()) {
      const line = `the accepted version can't be used: ${compiled.error.message}`;
      throw new CommandError(ExitCode.Refused, [line]);
    }
    const usable = compiled?.unwrapOr(undefined);
    return explainRoute(usable, createServerIndex(servers), query);
  });

const explainFromNode = async (
  node: string,
  query: ExplainQuery,
  timeoutMs: number,
): Promise<Explanation> => {
  const parameters = new URLSearchParams({ ...query });
  try {
    const response = await request(`http://${node}/explain?${parameters}`, {
      signal: AbortSignal.timeout(timeoutMs),
    });
    if (response.statusCode === 200) return (await response.body.json()) as Explanation;
    await response.body.dump();
    throw new Error(`HTTP ${response.statusCode}`);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(ExitCode.Refused, [`${node}: ${reason}`]);
  }
};

const formatExplanation = (explanation: Explanation): string[] => [
  `request: ${explanation.method} ${explanation.host} ${explanation.path}`,
  `version: ${explanation.version === 0 ? 'none' : explanation.version}`,
  `route: ${explanation.route ?? 'none'} (${explanation.reason})`,
  ...explanation.targets.flatMap(({ service, weightPercent, candidates }) => [
    '',
    `service ${service}, ${weightPercent}% of requests, ${candidates.length} servers`,
    ...(candidates.length === 0
      ? []
      : formatTable(
          ['server', 'software', 'node', 'data centre', 'state', 'can be chosen', 'reason'],
          candidates.map((candidate) => [
            candidate.serverId,
            candidate.softwareVersion ?? '-',
            candidate.nodeId,
            candidate.dataCentre,
            candidate.state,
            candidate.canBeChosen ? 'yes' : 'no',
            candidate.reason,
          ]),
        )),
  ]),
];

const explain = (options: ExplainOptions): Promise<Explanation> => {
  const { host, path, method, node, control, tokenFile, timeoutMs } = options;
  const query = { host, path, method };
  if (node !== undefined) return explainFromNode(node, query, timeoutMs);
  if (control === undefined || tokenFile === undefined) {
    const line = 'either --node, or --control and --token-file are required';
    throw new CommandError(ExitCode.BadInput, [line]);
  }
  return explainFromControl({ control, tokenFile, timeoutMs }, query);
};

const runExplain = async (options: ExplainOptions, terminal: Terminal): Promise<void> => {
  const explanation = await explain(options);
  if (options.json) terminal.print(JSON.stringify(explanation));
  else formatExplanation(explanation).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane explain`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addExplainCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('explain')
    .description('show which route a request takes and which servers can handle it')
    .requiredOption('--host <name>', 'host name of the request')
    .requiredOption('--path <path>', 'path of the request, without query')
    .option('--method <method>', 'HTTP method of the request', 'GET')
    .option('--node <host:port>', 'query this node (its local_listen)', parseHostPort)
    .option('--json', 'print the explanation as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command, { isMandatory: false }).action((options: ExplainOptions) =>
    runExplain(options, terminal),
  );
};

export default addExplainCommand;
