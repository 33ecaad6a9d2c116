/** `foxtailvane sheet check` and `foxtailvane sheet diff`. */
import type { Command } from 'commander';
import { DifferenceKind, diffConfigurations } from '../../../version/diffConfigurations/index.js';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import fetchCommittedConfiguration from '../_lib/fetchCommittedConfiguration.js';
import { readSheetFile } from '../_lib/readSheetFile.js';

import type { ConfigurationDifference } from '../../../version/diffConfigurations/index.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type Terminal from '../_lib/Terminal.js';

interface DiffOptions extends ConnectionOptions {
  json?: boolean;
}

const CHECK_HELP = `
Examples:
  $ foxtailvane sheet check sheet.csv
  $ foxtailvane sheet check sheet.csv --json

Each fault is printed on its own line. The exit code is 2 if there are faults.`;

const DIFF_HELP = `
Examples:
  $ foxtailvane sheet diff sheet.csv --control 10.0.0.5:7401 --token-file token

Lists what applying the sheet would add (+), remove (-) and change (~).`;

const SIGN_BY_KIND: Record<DifferenceKind, string> = {
  [DifferenceKind.Added]: '+',
  [DifferenceKind.Removed]: '-',
  [DifferenceKind.Changed]: '~',
};

const formatDifference = (difference: ConfigurationDifference): string[] => [
  `${SIGN_BY_KIND[difference.kind]} ${difference.subject} ${difference.name}`,
  ...difference.fields.map(({ field, before, after }) => `    ${field}: ${before} -> ${after}`),
];

/** The content hash does not cover the version number, so any valid number will do here. */
const PLACEHOLDER_VERSION = 1;

const runCheck = async (
  path: string,
  options: { json?: boolean },
  terminal: Terminal,
): Promise<void> => {
  const { configuration } = await readSheetFile(path, PLACEHOLDER_VERSION);
  const contentHash = Buffer.from(configuration.contentHash).toString('hex');
  const services = configuration.services.length;
  const routes = configuration.routes.length;
  terminal.print(
    options.json
      ? JSON.stringify({ valid: true, services, routes, contentHash })
      : `${path}: valid, ${services} services, ${routes} routes, content ${contentHash}`,
  );
};

const runDiff = async (path: string, options: DiffOptions, terminal: Terminal): Promise<void> => {
  const { configuration } = await readSheetFile(path, PLACEHOLDER_VERSION);
  const committed = await withClient(options, fetchCommittedConfiguration);
  const differences = diffConfigurations(committed, configuration);
  const version = committed?.version ?? 0;
  if (options.json) {
    terminal.print(JSON.stringify({ acceptedVersion: version, differences }));
    return;
  }
  const against = committed ? `accepted version ${version}` : 'nothing (no version accepted)';
  terminal.print(`${differences.length} differences from ${against}`);
  differences.flatMap(formatDifference).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane sheet`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addSheetCommand = (program: Command, terminal: Terminal): void => {
  const sheet = program.command('sheet').description('check and compare sheets');
  sheet
    .command('check <file>')
    .description('validate a sheet without sending it')
    .option('--json', 'print the result as JSON')
    .addHelpText('after', CHECK_HELP)
    .action((path: string, options: { json?: boolean }) => runCheck(path, options, terminal));
  const diff = sheet
    .command('diff <file>')
    .description('compare a sheet with the accepted configuration')
    .option('--json', 'print the differences as JSON')
    .addHelpText('after', DIFF_HELP);
  addConnectionOptions(diff).action((path: string, options: DiffOptions) =>
    runDiff(path, options, terminal),
  );
};

export default addSheetCommand;
