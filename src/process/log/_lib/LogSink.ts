/** Writes log lines to a stream and drops lines instead of buffering without limit or failing. */
import { appendFileSync } from 'node:fs';

import type { Writable } from 'node:stream';

/** Lines are dropped above this many buffered bytes; the memory budget of a node is 64 MB. */
const MAX_BUFFERED_BYTES = 1_048_576;

export default class LogSink {
  readonly #stream: Writable;

  readonly #ownsStream: boolean;

  readonly #file: string | number;

  /** Resolves once the file has been opened or has failed to open. */
  readonly opened: Promise<void>;

  #droppedLines = 0;

  /**
   * @param stream - receives the lines
   * @param options - `ownsStream`: whether closing the sink ends the stream; `file`: path or file
   *   descriptor to which the stream writes
   */
  constructor(
    stream: Writable,
    { ownsStream, file }: { ownsStream: boolean; file: string | number },
  ) {
    this.#stream = stream;
    this.#ownsStream = ownsStream;
    this.#file = file;
    // An unhandled error event, as from a full disk or a closed pipe, would end the process.
    stream.on('error', this.#countDroppedLine);
    this.opened = ownsStream
      ? new Promise((resolve) => {
          stream.once('open', resolve).once('close', resolve);
        })
      : Promise.resolve();
  }

  /** Number of lines dropped so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Writes a line, or drops it if the stream is closed or its buffer is full. */
  write(line: string): void {
    if (this.#stream.destroyed || this.#stream.writableLength > MAX_BUFFERED_BYTES) {
      this.#countDroppedLine();
      return;
    }
    this.#stream.write(`${line}\n`);
  }

  /** Writes a line at once, for a process that is about to end; lines that are still buffered are lost. */
  writeNow(line: string): void {
    try {
      // eslint-disable-next-line n/no-sync -- the process ends before an asynchronous write would
      appendFileSync(this.#file, `${line}\n`);
    } catch {
      this.#countDroppedLine();
    }
  }

  /** Flushes the buffered lines and closes the file. */
  async close(): Promise<void> {
    if (!this.#ownsStream) {
      this.#stream.off('error', this.#countDroppedLine);
      return;
    }
    if (this.#stream.destroyed) return;
    await new Promise<void>((resolve) => {
      this.#stream.once('close', resolve);
      this.#stream.end();
    });
  }

  readonly #countDroppedLine = (): void => {
    this.#droppedLines += 1;
  };
}
