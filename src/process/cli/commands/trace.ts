import { readFile } from 'node:fs/promises';

import type { Command } from 'commander';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';
import formatTable from '../_lib/formatTable.js';
import { traceRequest } from '../traceRequest/index.js';

import type Terminal from '../_lib/Terminal.js';
import type { TraceEvent } from '../traceRequest/index.js';

interface TraceOptions {
  logs: string[];
  json?: boolean;
}

const HELP = `
Examples:
  $ foxtailvane trace 9c41d07be2a35f68 --logs node-1.log node-2.log
  $ foxtailvane trace 9c41d07be2a35f68 --logs node-*.log --json`;

const HEADER = ['time', 'log', 'component', 'message', 'facts'];

const readLog = async (path: string): Promise<[string, string]> => {
  try {
    return [path, await readFile(path, 'utf8')];
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(ExitCode.BadInput, [`cannot read the log ${path}: ${reason}`]);
  }
};

const formatRow = ({ atMs, source, component, message, facts }: TraceEvent): string[] => [
  new Date(atMs).toISOString(),
  source,
  component,
  message,
  Object.entries(facts)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(' '),
];

const runTrace = async (
  requestId: string,
  { logs, json }: TraceOptions,
  terminal: Terminal,
): Promise<void> => {
  const events = traceRequest(new Map(await Promise.all(logs.map(readLog))), requestId);
  if (events.length === 0) {
    const message = `no log line found for request ${requestId}; request logging is rate-limited`;
    throw new CommandError(ExitCode.Refused, [message]);
  }
  if (json) terminal.print(JSON.stringify(events));
  else formatTable(HEADER, events.map(formatRow)).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane trace`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addTraceCommand = (program: Command, terminal: Terminal): void => {
  program
    .command('trace')
    .description('print the events of one request from the logs of several processes')
    .argument('<request id>', 'request id as seen by the caller')
    .requiredOption('--logs <files...>', 'log files of the processes')
    .option('--json', 'print the events as JSON')
    .addHelpText('after', HELP)
    .action((requestId: string, options: TraceOptions) => runTrace(requestId, options, terminal));
};

export default addTraceCommand;
