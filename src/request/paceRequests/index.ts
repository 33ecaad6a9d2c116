import type { IncomingMessage } from 'node:http';

/** Time for which requests are handled in one turn of the event loop. */
const SLICE_MS = 5;

/** A received request that is not handled yet. */
interface WaitingRequest {
  request: IncomingMessage;
  receivedAtMs: number;
  /** Turn of the event loop in which it was received. */
  turn: number;
  handle: (waitedMs: number) => void;
}

/** Options of a request pacer. */
export interface RequestPacerOptions {
  /** Returns the present time in milliseconds, on a monotonic clock. */
  readNowMs?: () => number;
  /** Called with each request whose caller had disconnected before it was handled. */
  onAbandoned?: () => void;
}

const isAbandoned = ({ socket }: IncomingMessage): boolean =>
  socket.destroyed || socket.readableEnded;

/**
 * Handles received requests in short slices, in the order of their arrival.
 *
 * Node.js accepts one connection per turn of the event loop. With long turns, requests wait unread in
 * their connections, and the disconnections of their callers behind them. A request is handled once its
 * connection was read again after it, so that a caller who has left is noticed.
 *
 * @example
 * const pacer = new RequestPacer();
 * pacer.add(request, (waitedMs) => handle(request, waitedMs));
 */
export class RequestPacer {
  readonly #readNowMs: () => number;

  readonly #onAbandoned: () => void;

  #waiting: WaitingRequest[] = [];

  #turn = 0;

  #isScheduled = false;

  constructor({
    readNowMs = () => performance.now(),
    onAbandoned = () => undefined,
  }: RequestPacerOptions = {}) {
    this.#readNowMs = readNowMs;
    this.#onAbandoned = onAbandoned;
  }

  /**
   * Adds a received request.
   *
   * @param request - the request; dropped if its caller disconnects before it is handled
   * @param handle - called with the time that the request has waited, in milliseconds
   */
  add(request: IncomingMessage, handle: (waitedMs: number) => void): void {
    this.#waiting.push({ request, handle, receivedAtMs: this.#readNowMs(), turn: this.#turn });
    this.#schedule();
  }

  /**
   * Returns for how long the oldest request has waited, in milliseconds.
   *
   * @param nowMs - present time, on the clock of `readNowMs`
   */
  computeWaitMs(nowMs: number): number {
    const [oldest] = this.#waiting;
    return oldest ? nowMs - oldest.receivedAtMs : 0;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#runSlice());
  }

  #runSlice(): void {
    this.#isScheduled = false;
    const endsAtMs = this.#readNowMs() + SLICE_MS;
    const isDue = (next: WaitingRequest | undefined): next is WaitingRequest =>
      next !== undefined && next.turn < this.#turn;
    while (isDue(this.#waiting[0]) && this.#readNowMs() < endsAtMs) this.#handleNext();
    this.#turn += 1;
    if (this.#waiting.length > 0) this.#schedule();
  }

  #handleNext(): void {
    const next = this.#waiting.shift();
    if (!next) return;
    if (isAbandoned(next.request)) this.#onAbandoned();
    else next.handle(this.#readNowMs() - next.receivedAtMs);
  }
}
