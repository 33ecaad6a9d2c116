/** Command line options shared by the commands that connect to control VMs. */
import { readFile } from 'node:fs/promises';

import { Option } from 'commander';

import type { Command } from 'commander';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';
import { OperatorClient } from './OperatorClient.js';

/** Options of a command that connects to control VMs. */
export interface ConnectionOptions {
  control: string[];
  tokenFile: string;
  timeoutMs: number;
}

/** Longer than the 5 s within which a control VM responds to a proposal. */
const DEFAULT_TIMEOUT_MS = 7_000;
const HOST_PORT_PATTERN = /^(\[[0-9a-f:]+\]|[A-Za-z0-9.-]+):[1-9][0-9]{0,4}$/i;

/** Validates a `host:port` option. Throws CommandError if it is malformed. */
export const parseHostPort = (value: string): string => {
  if (HOST_PORT_PATTERN.test(value)) return value;
  throw new CommandError(ExitCode.BadInput, [`${value}: expected host:port`]);
};

const appendControl = (value: string, previous: string[] | undefined): string[] => [
  ...(previous ?? []),
  parseHostPort(value),
];

/** Parses an option in milliseconds. Throws CommandError if it is malformed. */
export const parseDurationMs = (value: string): number => {
  if (!/^[1-9][0-9]{0,8}$/.test(value)) {
    const expected = 'expected a whole number of milliseconds of at least 1';
    throw new CommandError(ExitCode.BadInput, [`${value}: ${expected}`]);
  }
  return Number(value);
};

/**
 * Adds `--control`, `--token-file` and `--timeout-ms` to a command.
 *
 * @param command - an operator command
 * @param options - whether `--control` and `--token-file` are mandatory; they are by default
 */
export const addConnectionOptions = (
  command: Command,
  options: { isMandatory: boolean } = { isMandatory: true },
): Command =>
  command
    .addOption(
      new Option(
        '--control <host:port>',
        'operator_listen of a control VM; repeat the option to add others to try next',
      )
        .argParser(appendControl)
        .makeOptionMandatory(options.isMandatory),
    )
    .addOption(
      new Option('--token-file <file>', 'file with the bearer token').makeOptionMandatory(
        options.isMandatory,
      ),
    )
    .option(
      '--timeout-ms <ms>',
      'time to wait for the response of one control VM',
      parseDurationMs,
      DEFAULT_TIMEOUT_MS,
    );

const readToken = async (path: string): Promise<string> => {
  try {
    const token = (await readFile(path, 'utf8')).trim();
    if (token !== '') return token;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new CommandError(ExitCode.BadInput, [`--token-file ${path}: ${reason}`]);
  }
  throw new CommandError(ExitCode.BadInput, [`--token-file ${path}: the file is empty`]);
};

/**
 * Runs an action with a client of the control VMs and closes the client afterwards.
 *
 * @param options - options of the command
 * @param act - the action
 * @returns the result of the action
 * @throws CommandError when the token can't be read
 */
export const withClient = async <Outcome>(
  options: ConnectionOptions,
  act: (client: OperatorClient) => Promise<Outcome>,
): Promise<Outcome> => {
  const token = await readToken(options.tokenFile);
  const client = new OperatorClient({
    controls: options.control,
    token,
    timeoutMs: options.timeoutMs,
  });
  try {
    return await act(client);
  } finally {
    await client.close();
  }
};
