/** `foxtailvane rollout start`, `rollout status` and `rollout history`. */
import { randomUUID } from 'node:crypto';

import type { Command } from 'commander';
import { RequestExecution } from '../../operatorApi/types.js';
import { RolloutOutcome } from '../../rollouts/types.js';
import { addConnectionOptions, parseDurationMs, withClient } from '../_lib/connectionOptions.js';
import { ExchangeOutcome } from '../_lib/OperatorClient.js';
import { describeExchange, fetchResource } from '../_lib/fetchResource.js';
import formatTable from '../_lib/formatTable.js';
import getOperatorName from '../_lib/getOperatorName.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

import type { ListedRollout, RolloutResponse } from '../../operatorApi/types.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type { Exchange, OperatorClient } from '../_lib/OperatorClient.js';
import type Terminal from '../_lib/Terminal.js';

interface StartOptions extends ConnectionOptions {
  targetVersion: string;
  durationMs: number;
  requestId?: string;
  json?: boolean;
}

interface ListOptions extends ConnectionOptions {
  json?: boolean;
}

const START_HELP = `
Examples:
  $ foxtailvane rollout start order-desk --target-version v2 --duration-ms 600000 \\
      --control 10.0.0.5:7401 --token-file token

Exit codes: 0 accepted (also when it was accepted before), 1 refused and not run,
2 invalid arguments, 3 outcome unknown (repeating with the same --request-id is safe).`;

const HEADER = [
  'id',
  'service',
  'version',
  'stage',
  'share',
  'ordered at',
  'duration s',
  'operator',
  'reason',
];

const EXIT_CODE_BY_EXECUTION: Record<RequestExecution, ExitCode> = {
  [RequestExecution.Executed]: ExitCode.Done,
  [RequestExecution.NotExecuted]: ExitCode.Refused,
  [RequestExecution.Unknown]: ExitCode.Unknown,
};

/** Outcomes after which another control VM may accept the order. */
const RETRYABLE_OUTCOMES = [RolloutOutcome.Unavailable, RolloutOutcome.Unknown];

const formatRow = (rollout: ListedRollout): string[] => [
  String(rollout.id),
  rollout.service,
  rollout.targetVersion,
  rollout.stage,
  `${rollout.sharePermille / 10}%`,
  new Date(rollout.orderedAtMs).toISOString(),
  String(rollout.durationMs / 1_000),
  rollout.operator,
  rollout.reason,
];

const parseResponse = ({ body }: Exchange): RolloutResponse | undefined => {
  const { outcome } = (body ?? {}) as { outcome?: unknown };
  return Object.values<unknown>(RolloutOutcome).includes(outcome)
    ? (body as RolloutResponse)
    : undefined;
};

const isFinal = (exchange: Exchange): boolean => {
  const response = parseResponse(exchange);
  if (response) return !RETRYABLE_OUTCOMES.includes(response.outcome);
  return exchange.kind === ExchangeOutcome.Answered && exchange.status < 500;
};

const findExecution = (exchange: Exchange): RequestExecution => {
  if (exchange.kind === ExchangeOutcome.NotSent) return RequestExecution.NotExecuted;
  const { ran } = (exchange.body ?? {}) as { ran?: unknown };
  return Object.values(RequestExecution).find((value) => value === ran) ?? RequestExecution.Unknown;
};

/** Sends the order to the control VMs in turn; the request id makes this safe. */
const sendOrder = async (
  client: OperatorClient,
  service: string,
  requestId: string,
  { targetVersion, durationMs }: StartOptions,
): Promise<Exchange[]> =>
  client.controls.reduce<Promise<Exchange[]>>(async (previous, control) => {
    const exchanges = await previous;
    if (exchanges.some(isFinal)) return exchanges;
    const exchange = await client.send(control, {
      method: 'POST',
      path: `/v1/rollouts/${encodeURIComponent(service)}`,
      headers: {
        'content-type': 'application/json',
        'foxtailvane-request-id': requestId,
        'foxtailvane-operator': getOperatorName(),
      },
      body: JSON.stringify({ targetVersion, durationMs }),
    });
    return [...exchanges, exchange];
  }, Promise.resolve([]));

const runStart = async (
  service: string,
  options: StartOptions,
  terminal: Terminal,
): Promise<void> => {
  const requestId = options.requestId ?? randomUUID();
  const exchanges = await withClient(options, (client) =>
    sendOrder(client, service, requestId, options),
  );
  const final = exchanges.find(isFinal);
  const response = final && parseResponse(final);
  if (options.json) terminal.print(JSON.stringify(response ?? { requestId, service }));
  if (response?.ran === RequestExecution.Executed) {
    if (!options.json) terminal.print(`${response.outcome}: ${response.message}`);
    return;
  }
  if (response) {
    throw new CommandError(ExitCode.Refused, [`${response.outcome}: ${response.message}`]);
  }
  const executions = exchanges.map(findExecution);
  const ran = executions.includes(RequestExecution.Unknown)
    ? RequestExecution.Unknown
    : RequestExecution.NotExecuted;
  const advice =
    ran === RequestExecution.Unknown
      ? [`outcome unknown; repeating the command with --request-id ${requestId} is safe`]
      : [];
  throw new CommandError(EXIT_CODE_BY_EXECUTION[ran], [
    ...exchanges.map(describeExchange),
    ...advice,
  ]);
};

const runList = async (
  select: (rollouts: ListedRollout[]) => ListedRollout[],
  options: ListOptions,
  terminal: Terminal,
): Promise<void> => {
  const rollouts = await withClient(options, (client) =>
    fetchResource<ListedRollout[]>(client, '/v1/rollouts'),
  );
  const selected = select(rollouts);
  if (options.json) terminal.print(JSON.stringify(selected));
  else formatTable(HEADER, selected.map(formatRow)).forEach((line) => terminal.print(line));
};

/** Selects the newest roll-out of each service, or of the one that is named. */
const selectNewest =
  (service: string | undefined) =>
  (rollouts: ListedRollout[]): ListedRollout[] =>
    [...new Map(rollouts.map((rollout) => [rollout.service, rollout])).values()].filter(
      (rollout) => service === undefined || rollout.service === service,
    );

/**
 * Adds `foxtailvane rollout`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addRolloutCommand = (program: Command, terminal: Terminal): void => {
  const rollout = program
    .command('rollout')
    .description('move the requests of a service to servers of another software version');
  const start = rollout
    .command('start <service>')
    .description('order a roll-out; it is completed or taken back without further commands')
    .requiredOption('--target-version <version>', 'software version that the new servers state')
    .requiredOption(
      '--duration-ms <ms>',
      'time within which the roll-out is to be completed',
      parseDurationMs,
    )
    .option('--request-id <id>', 'request id of an earlier order whose outcome is unknown')
    .option('--json', 'print the response as JSON')
    .addHelpText('after', START_HELP);
  addConnectionOptions(start).action((service: string, options: StartOptions) =>
    runStart(service, options, terminal),
  );
  const status = rollout
    .command('status [service]')
    .description('show the newest roll-out of each service')
    .option('--json', 'print the list as JSON');
  addConnectionOptions(status).action((service: string | undefined, options: ListOptions) =>
    runList(selectNewest(service), options, terminal),
  );
  const history = rollout
    .command('history')
    .description('list the roll-outs, oldest first')
    .option('--json', 'print the list as JSON');
  addConnectionOptions(history).action((options: ListOptions) =>
    runList((rollouts) => rollouts, options, terminal),
  );
};

export default addRolloutCommand;
