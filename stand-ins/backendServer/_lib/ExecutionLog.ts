import { closeSync, openSync, readFileSync, writeSync } from 'node:fs';

export enum ExecutionEvent {
  Start = 'start',
  End = 'end',
}

export enum ExecutionEnd {
  Answered = 'answered',
  Failed = 'failed',
  Cancelled = 'cancelled',
  DeadlineExceeded = 'deadline-exceeded',
}

/** One line of the record file. */
export interface ExecutionRecord {
  event: ExecutionEvent;
  requestId: string;
  serverId: string;
  service: string;
  atMs: number;
  path: string;
  attempt?: string;
  /** Time since the server announced `draining`; unset before that. */
  drainingForMs?: number;
  end?: ExecutionEnd;
}

/** Appends each execution record with one synchronous write, so that SIGKILL loses none. */
export class ExecutionLog {
  readonly #fileDescriptor: number;

  constructor(file: string) {
    this.#fileDescriptor = openSync(file, 'a');
  }

  append(record: ExecutionRecord): void {
    writeSync(this.#fileDescriptor, `${JSON.stringify(record)}\n`);
  }

  close(): void {
    closeSync(this.#fileDescriptor);
  }
}

/**
 * Reads all records of a server.
 *
 * @param file - record file of one or more runs of the server
 */
export const readExecutions = (file: string): ExecutionRecord[] =>
  readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.endsWith('}'))
    .map((line) => JSON.parse(line) as ExecutionRecord);
