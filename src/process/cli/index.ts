/** The command line of foxtailvane. */
import { Command, CommanderError } from 'commander';

import addApplyCommand from './commands/apply.js';
import addCheckSettingsCommand from './commands/checkSettings.js';
import addExplainCommand from './commands/explain.js';
import addDaemonCommands from './commands/daemons.js';
import addHistoryCommand from './commands/history.js';
import addMembersCommand from './commands/members.js';
import addRolloutCommand from './commands/rollout.js';
import addServersCommand from './commands/servers.js';
import addSheetCommand from './commands/sheet.js';
import addStatusCommand from './commands/status.js';
import addTraceCommand from './commands/trace.js';
import addWorkspacesCommand from './commands/workspaces.js';
import CommandError from './CommandError.js';
import ExitCode from './ExitCode.js';

import type Terminal from './_lib/Terminal.js';

export { default as ExitCode } from './ExitCode.js';
export type { default as Terminal } from './_lib/Terminal.js';

const COMMAND_REGISTRATIONS = [
  addDaemonCommands,
  addCheckSettingsCommand,
  addSheetCommand,
  addApplyCommand,
  addStatusCommand,
  addServersCommand,
  addExplainCommand,
  addHistoryCommand,
  addMembersCommand,
  addRolloutCommand,
  addTraceCommand,
  addWorkspacesCommand,
];

/** Keeps the full usage text if a command is missing, and only the first line of other messages. */
const selectErrorText = (text: string): string => {
  const trimmed = text.trim();
  return trimmed.startsWith('Usage:') ? trimmed : (trimmed.split('\n')[0] ?? '');
};

/** Subcommands inherit the program settings when they are added, so those are set first. */
const createProgram = (terminal: Terminal): Command => {
  const program = new Command('foxtailvane')
    .description('configuration distribution and request routing for a service mesh')
    .exitOverride()
    .configureOutput({
      writeOut: (text) => terminal.print(text.trimEnd()),
      writeErr: (text) => terminal.printError(selectErrorText(text)),
    });
  COMMAND_REGISTRATIONS.forEach((addCommand) => addCommand(program, terminal));
  return program;
};

const reportError = (error: unknown, terminal: Terminal): ExitCode => {
  if (error instanceof CommandError) {
    error.lines.forEach((line) => terminal.printError(`foxtailvane: ${line}`));
    return error.exitCode;
  }
  // Commander has already printed a message; help and version exit with code 0.
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Done : ExitCode.BadInput;
  }
  // After an unexpected failure it is unknown whether the request ran.
  const reason = error instanceof Error ? error.message : String(error);
  terminal.printError(`foxtailvane: unexpected failure: ${reason.replaceAll('\n', ' ')}`);
  return ExitCode.Unknown;
};

/**
 * Runs a command line.
 *
 * @param args - arguments without the name of the program
 * @param terminal - output of the command
 * @returns the exit code
 *
 * @example
 * process.exitCode = await runCommandLine(process.argv.slice(2), terminal);
 */
export const runCommandLine = async (args: string[], terminal: Terminal): Promise<ExitCode> => {
  try {
    await createProgram(terminal).parseAsync(args, { from: 'user' });
    return ExitCode.Done;
  } catch (error) {
    return reportError(error, terminal);
  }
};
