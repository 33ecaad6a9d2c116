import type ExitCode from './ExitCode.js';

/** A command that ends without success, with what to print on stderr. */
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
