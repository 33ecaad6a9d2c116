import type ExitCode from './ExitCode.js';

/** Ends a command with an exit code and the lines to print on stderr. */
export default class CommandError extends Error {
  readonly exitCode: ExitCode;

  /** One line each, without a line break. */
  readonly lines: string[];

  constructor(exitCode: ExitCode, lines: string[]) {
    super(lines.join('; '));
    this.name = 'CommandError';
    this.exitCode = exitCode;
    this.lines = lines;
  }
}
