/** `foxtailvane members add` and `foxtailvane members remove`. */
import type { Command } from 'commander';
import { RequestExecution } from '../../operatorApi/types.js';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import { ExchangeOutcome } from '../_lib/OperatorClient.js';
import { describeExchange } from '../_lib/fetchResource.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type { Exchange, OperatorClient } from '../_lib/OperatorClient.js';
import type Terminal from '../_lib/Terminal.js';

interface AddOptions extends ConnectionOptions {
  dataCentre: string;
  address: string;
  json?: boolean;
}

interface RemoveOptions extends ConnectionOptions {
  json?: boolean;
}

const ADD_HELP = `
Examples:
  $ foxtailvane members add control-4 --data-centre dc-east --address 10.0.0.8:7400 \\
      --control 10.0.0.5:7401 --token-file token

The new control VM joins as a learner and becomes a voter once it holds all committed entries.`;

const REMOVE_HELP = `
Examples:
  $ foxtailvane members remove control-4 --control 10.0.0.5:7401 --token-file token

Change one member at a time, and wait until status shows the change before the next one.`;

const parseExecution = (exchange: Exchange): RequestExecution => {
  if (exchange.kind === ExchangeOutcome.NotSent) return RequestExecution.NotExecuted;
  const { ran } = (exchange.body ?? {}) as { ran?: unknown };
  return Object.values(RequestExecution).find((value) => value === ran) ?? RequestExecution.Unknown;
};

/**
 * Sends a membership change to the control VMs in turn, and stops once one of them may have executed
 * it. Unlike `apply`, a membership change has no request id that would make a retry safe.
 */
const sendChange = async (
  client: OperatorClient,
  path: string,
  body: unknown,
): Promise<Exchange[]> =>
  client.controls.reduce<Promise<Exchange[]>>(async (previous, control) => {
    const exchanges = await previous;
    const last = exchanges.at(-1);
    if (last && parseExecution(last) !== RequestExecution.NotExecuted) return exchanges;
    const request = { method: 'POST' as const, path, body: JSON.stringify(body) };
    return [...exchanges, await client.send(control, request)];
  }, Promise.resolve([]));

const EXIT_CODE_BY_EXECUTION: Record<RequestExecution, ExitCode> = {
  [RequestExecution.Executed]: ExitCode.Done,
  [RequestExecution.NotExecuted]: ExitCode.Refused,
  [RequestExecution.Unknown]: ExitCode.Unknown,
};

const runChange = async (
  path: string,
  body: unknown,
  options: RemoveOptions,
  terminal: Terminal,
): Promise<void> => {
  const exchanges = await withClient(options, (client) => sendChange(client, path, body));
  const last = exchanges.at(-1);
  const ran = last ? parseExecution(last) : RequestExecution.NotExecuted;
  if (options.json) terminal.print(JSON.stringify(last?.body ?? { ran }));
  if (ran !== RequestExecution.Executed) {
    const advice =
      ran === RequestExecution.Unknown
        ? ['outcome unknown: check `foxtailvane status` before retrying']
        : [];
    throw new CommandError(EXIT_CODE_BY_EXECUTION[ran], [
      ...exchanges.map(describeExchange),
      ...advice,
    ]);
  }
  const { message } = (last?.body ?? {}) as { message?: unknown };
  if (!options.json) terminal.print(typeof message === 'string' ? message : 'done');
};

/**
 * Adds `foxtailvane members`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addMembersCommand = (program: Command, terminal: Terminal): void => {
  const members = program.command('members').description('add and remove control VMs');
  const add = members
    .command('add <name>')
    .description('add a control VM')
    .requiredOption('--data-centre <name>', 'data centre of the control VM')
    .requiredOption('--address <ip:port>', 'listen address of the control VM')
    .option('--json', 'print the response as JSON')
    .addHelpText('after', ADD_HELP);
  addConnectionOptions(add).action((memberId: string, options: AddOptions) => {
    const { dataCentre, address } = options;
    return runChange('/v1/members/add', { memberId, dataCentre, address }, options, terminal);
  });
  const remove = members
    .command('remove <name>')
    .description('remove a control VM')
    .option('--json', 'print the response as JSON')
    .addHelpText('after', REMOVE_HELP);
  addConnectionOptions(remove).action((memberId: string, options: RemoveOptions) =>
    runChange('/v1/members/remove', { memberId }, options, terminal),
  );
};

export default addMembersCommand;
