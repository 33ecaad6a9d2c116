import type { IncomingMessage } from 'node:http';
import GrowingBuffer from '../../../process/GrowingBuffer/index.js';

/** Longer parts are passed on as they are; shorter ones are joined. */
const MIN_PASSED_BYTES = 4_096;

/** Joins the parts of a body that are parsed at once. */
export default class JoinedBody {
  parts = 0;

  sizeBytes = 0;

  readonly request: IncomingMessage;

  readonly #push: IncomingMessage['push'];

  readonly #joined = new GrowingBuffer();

  #isFull = false;

  constructor(request: IncomingMessage, onPart: () => void) {
    this.request = request;
    this.#push = request.push.bind(request);
    // Otherwise Node.js drops the parts of an answered request without a call of `push`.
    request.read(0);
    Object.assign(request, {
      push: (part: Buffer | null): boolean => {
        if (part === null) {
          this.flush();
          // Node.js reads on behind a body, and no later read of the body would resume the connection.
          this.#isFull = false;
          return this.#push(null);
        }
        this.#add(part);
        onPart();
        return !this.#isFull;
      },
    });
  }

  /**
   * Passes on what is joined.
   *
   * @returns whether the body is read
   */
  flush(): boolean {
    if (this.#joined.sizeBytes > 0) this.#isFull = !this.#push(this.#joined.take());
    return !this.#isFull;
  }

  /** Starts to count the parts of the next piece. */
  reset(): void {
    this.parts = 0;
    this.sizeBytes = 0;
    this.#isFull = false;
  }

  #add(part: Buffer): void {
    this.parts += 1;
    this.sizeBytes += part.length;
    if (this.#joined.sizeBytes === 0 && part.length >= MIN_PASSED_BYTES)
      this.#isFull = !this.#push(part);
    else this.#joined.append(part);
  }
}
