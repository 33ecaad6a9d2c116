/** The command line of foxtailvane. */
import { Command, CommanderError } from 'commander';

import addApplyCommand from './commands/apply.js';
import addStatusCommand from './commands/status.js';
import CommandError from './CommandError.js';
import ExitCode from './ExitCode.js';

import type Terminal from './_lib/Terminal.js';

export { default as ExitCode } from './ExitCode.js';
export type { default as Terminal } from './_lib/Terminal.js';

const COMMANDS = [addApplyCommand, addStatusCommand];

/** Subcommands copy these settings, so they precede the commands. */
const createProgram = (terminal: Terminal): Command => {
  const program = new Command('foxtailvane')
    .description('configuration distribution and request routing for a service mesh')
    .exitOverride()
    .configureOutput({
      writeOut: (text) => terminal.print(text.trimEnd()),
      writeErr: (text) => {
        const [line = ''] = text.trim().split('\n');
        terminal.printError(line);
      },
    });
  COMMANDS.forEach((addCommand) => addCommand(program, terminal));
  return program;
};

const reportFailure = (error: unknown, terminal: Terminal): ExitCode => {
  if (error instanceof CommandError) {
    error.lines.forEach((line) => terminal.printError(`foxtailvane: ${line}`));
    return error.exitCode;
  }
  // Commander has printed its own message; help and version are no failure.
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Done : ExitCode.BadInput;
  }
  throw error;
};

/**
 * Runs a command line.
 *
 * @param args - arguments after the name of the program
 * @param terminal - where to print
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
    return reportFailure(error, terminal);
  }
};
