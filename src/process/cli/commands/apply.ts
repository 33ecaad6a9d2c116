import { randomUUID } from 'node:crypto';

import type { Command } from 'commander';
import { ApplyOutcome } from '../../replication/ControlLog/index.js';
import { addConnectionOptions, parseDurationMs, withClient } from '../_lib/connectionOptions.js';
import getOperatorName from '../_lib/getOperatorName.js';
import { formatSheetFault, readSheetFile } from '../_lib/readSheetFile.js';
import { sendApply } from '../_lib/sendApply.js';
import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';

import type { ApplyResponse } from '../../operatorApi/types.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type { SendApplyResult, VersionSubmission } from '../_lib/sendApply.js';
import type Terminal from '../_lib/Terminal.js';

interface ApplyOptions extends ConnectionOptions {
  version: number;
  requestId?: string;
  waitMs: number;
  json?: boolean;
}

/** Longer than an election, so that an apply survives the loss of the leader. */
const DEFAULT_WAIT_MS = 10_000;
const MAX_VERSION = 4_294_967_295;

const HELP = `
Examples:
  $ foxtailvane apply sheet.csv --version 12 --control 10.0.0.5:7401 --token-file token
  $ foxtailvane apply sheet.csv --version 12 --control 10.0.0.5:7401 --control 10.1.0.5:7401 \\
      --token-file token --json

Exit codes: 0 accepted (also when it was accepted before), 1 refused and not run,
2 invalid sheet or arguments, 3 outcome unknown (repeating the same command is safe).`;

const EXIT_CODE_BY_OUTCOME: Record<ApplyOutcome, ExitCode> = {
  [ApplyOutcome.Accepted]: ExitCode.Done,
  [ApplyOutcome.AlreadyAccepted]: ExitCode.Done,
  [ApplyOutcome.Conflict]: ExitCode.Refused,
  [ApplyOutcome.Stale]: ExitCode.Refused,
  [ApplyOutcome.BaseMismatch]: ExitCode.Refused,
  [ApplyOutcome.Invalid]: ExitCode.BadInput,
  [ApplyOutcome.Unavailable]: ExitCode.Refused,
  [ApplyOutcome.Unknown]: ExitCode.Unknown,
};

const parseVersion = (value: string): number => {
  if (/^[1-9][0-9]{0,9}$/.test(value) && Number(value) <= MAX_VERSION) return Number(value);
  const expected = `expected a whole number from 1 to ${MAX_VERSION}`;
  throw new CommandError(ExitCode.BadInput, [`--version ${value}: ${expected}`]);
};

const describeHolder = (response: ApplyResponse): string => {
  const { holder } = response;
  if (!holder) return '';
  const since = new Date(holder.acceptedAtMs).toISOString();
  return ` (version ${holder.version} held by ${holder.operator} since ${since}, request ${holder.requestId})`;
};

const reportResponse = (
  path: string,
  response: ApplyResponse,
  options: ApplyOptions,
  terminal: Terminal,
): void => {
  const exitCode = EXIT_CODE_BY_OUTCOME[response.outcome];
  if (options.json) terminal.print(JSON.stringify(response));
  const line = `${response.outcome}: ${response.message}${describeHolder(response)}`;
  if (exitCode === ExitCode.Done) {
    if (!options.json) terminal.print(line);
    return;
  }
  const faults = (response.faults ?? []).map((fault) => formatSheetFault(path, fault));
  throw new CommandError(exitCode, [line, ...faults]);
};

const reportNoResponse = (
  sent: VersionSubmission,
  result: SendApplyResult,
  options: ApplyOptions,
  terminal: Terminal,
): never => {
  const { version, requestId } = sent;
  const outcome = result.mayHaveRun ? ApplyOutcome.Unknown : ApplyOutcome.Unavailable;
  const message = result.mayHaveRun
    ? `version ${version} may have been accepted; repeating the command with --request-id ` +
      `${requestId} is safe`
    : `version ${version} was not applied; no control VM accepted the request`;
  if (options.json) terminal.print(JSON.stringify({ outcome, message, requestId, version }));
  throw new CommandError(EXIT_CODE_BY_OUTCOME[outcome], [
    ...result.problems,
    `${outcome}: ${message}`,
  ]);
};

const runApply = async (path: string, options: ApplyOptions, terminal: Terminal): Promise<void> => {
  const { bytes, configuration } = await readSheetFile(path, options.version);
  const sent: VersionSubmission = {
    version: options.version,
    sheet: bytes,
    requestId: options.requestId ?? randomUUID(),
    operator: getOperatorName(),
    contentHash: Buffer.from(configuration.contentHash).toString('hex'),
  };
  const result = await withClient(options, (client) =>
    sendApply(client, sent, {
      deadlineMs: Date.now() + options.waitMs,
      nowMs: Date.now,
      onRetry: (line) => terminal.printError(line),
    }),
  );
  if (result.response) reportResponse(path, result.response, options, terminal);
  else reportNoResponse(sent, result, options, terminal);
};

/**
 * Adds `foxtailvane apply`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addApplyCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('apply <sheet>')
    .description('apply a sheet as the configuration with the given version number')
    .requiredOption(
      '--version <number>',
      'version number, higher than the accepted one',
      parseVersion,
    )
    .option('--request-id <id>', 'request id of an earlier apply whose outcome is unknown')
    .option(
      '--wait-ms <ms>',
      'time to keep retrying while no control VM returns a definite outcome',
      parseDurationMs,
      DEFAULT_WAIT_MS,
    )
    .option('--json', 'print the response as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command).action((path: string, options: ApplyOptions) =>
    runApply(path, options, terminal),
  );
};

export default addApplyCommand;
