/** Output of log lines that drops lines instead of growing or failing. */
import type { Writable } from 'node:stream';

/** Bytes that wait for a slow disk or pipe before lines are dropped; a node has 64 MB in all. */
const MAX_BUFFERED_BYTES = 1_048_576;

export default class LogSink {
  readonly #stream: Writable;

  readonly #ownsStream: boolean;

  /** Resolves once a file has been opened or could not be. */
  readonly opened: Promise<void>;

  #droppedLines = 0;

  /**
   * @param stream - receives the lines
   * @param ownsStream - whether closing the sink ends the stream
   */
  constructor(stream: Writable, ownsStream: boolean) {
    this.#stream = stream;
    this.#ownsStream = ownsStream;
    // A full disk or a closed pipe must not end the process.
    stream.on('error', this.#noteLoss);
    this.opened = ownsStream
      ? new Promise((resolve) => {
          stream.once('open', resolve).once('close', resolve);
        })
      : Promise.resolve();
  }

  get droppedLines(): number {
    return this.#droppedLines;
  }

  write(line: string): void {
    if (this.#stream.destroyed || this.#stream.writableLength > MAX_BUFFERED_BYTES) {
      this.#noteLoss();
      return;
    }
    this.#stream.write(`${line}\n`);
  }

  /** Writes what is buffered and closes the file. */
  async close(): Promise<void> {
    if (!this.#ownsStream) {
      this.#stream.off('error', this.#noteLoss);
      return;
    }
    if (this.#stream.destroyed) return;
    await new Promise<void>((resolve) => {
      this.#stream.once('close', resolve);
      this.#stream.end();
    });
  }

  readonly #noteLoss = (): void => {
    this.#droppedLines += 1;
  };
}
