import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';

/** Requests of one connection that are handled at the same time; callers send few ahead. */
const MAX_RUNNING = 16;
/** Pending requests from which on a connection is not read; above `MAX_RUNNING`, as a body is read. */
const MAX_PENDING = 32;
/** Requests read and dropped after the last response until the connection is destroyed. */
const MAX_DISCARDED = 1_024;
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

const pipelines = new WeakMap<Socket, ResponsePipeline>();

/** A request that waits until enough of those before it are answered. */
interface WaitingRequest {
  receivedAtMs: number;
  start: (waitedMs: number) => void;
}

/**
 * Pending responses of one connection, in the order of their requests.
 *
 * A caller may send further requests before the first one is answered. Those behind a response that
 * closes the connection count as not received, and the caller sends them again, so none of them may
 * be handled.
 *
 * A caller that sends many requests ahead, or does not read its responses, gets a few of them handled
 * at the same time; then its connection is not read until some are sent.
 *
 * @example
 * const pipeline = ResponsePipeline.of(request.socket);
 * if (!pipeline.add(response, { isClosing: isDraining })) pipeline.discard(request);
 * else pipeline.run((waitedMs) => handle(request, response, waitedMs));
 */
export default class ResponsePipeline {
  readonly #socket: Socket;

  readonly #resume: () => Socket;

  readonly #pending = new Set<ServerResponse>();

  readonly #waiting: WaitingRequest[] = [];

  /** The last response, if it closes the connection only as long as it is the last. */
  #closingLast: ServerResponse | undefined;

  #isClosed = false;

  #isPaused = false;

  #discardedCount = 0;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#resume = socket.resume.bind(socket);
    // Node.js resumes a connection to read the body of any of its requests.
    Object.assign(socket, { resume: () => (this.#isPaused ? socket : this.#resume()) });
    socket.on('resume', () => {
      // A resumption that was scheduled before the pause; Node.js stops reading on this event.
      if (this.#isPaused) socket.emit('pause');
    });
    socket.once('close', () => this.#endQueued());
  }

  /** Returns the pipeline of a connection; creates it at the first request. */
  static of(socket: Socket): ResponsePipeline {
    const existing = pipelines.get(socket);
    if (existing) return existing;
    const created = new ResponsePipeline(socket);
    pipelines.set(socket, created);
    return created;
  }

  /**
   * Adds the response to the next request of the connection.
   *
   * @param response - response whose head has not been written
   * @param options - `isClosing`: whether the connection closes after the response, unless a further
   *   request arrives before its head is written
   * @returns false if an earlier response closes the connection, so the request must not be handled
   */
  add(response: ServerResponse, { isClosing }: { isClosing: boolean }): boolean {
    if (this.#isClosed || this.#pendingCloses()) return false;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = true;
    this.#closingLast = isClosing && response.shouldKeepAlive ? response : undefined;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = false;
    this.#pending.add(response);
    response.once('close', () => this.#remove(response));
    if (this.#pending.size >= MAX_PENDING) this.#pause();
    return true;
  }

  /**
   * Closes the connection after a response whose head is not written yet. Requests that arrive from now
   * on are not handled.
   *
   * @param response - a pending response
   */
  closeAfter(response: ServerResponse): void {
    const target = response;
    target.shouldKeepAlive = false;
    this.#isClosed = true;
  }

  /**
   * Handles the request that was added last, at once or when enough of those before it are answered.
   *
   * @param start - called with the time that the request has waited, in milliseconds; not called if
   *   the connection closes before
   */
  run(start: (waitedMs: number) => void): void {
    if (this.#pending.size <= MAX_RUNNING) start(0);
    else this.#waiting.push({ receivedAtMs: performance.now(), start });
  }

  /** Reads and drops a request that must not be handled. */
  discard(request: IncomingMessage): void {
    this.#discardedCount += 1;
    request.resume();
    if (!this.#isClosed) this.#pause();
    else if (this.#discardedCount > MAX_DISCARDED) this.#socket.destroy();
  }

  #remove(response: ServerResponse): void {
    this.#isClosed ||= !response.shouldKeepAlive || this.#socket.destroyed;
    this.#pending.delete(response);
    if (this.#pending.size < MAX_PENDING || this.#isClosed) this.#continue();
    if (this.#isClosed || this.#pendingCloses()) this.#waiting.length = 0;
    if (this.#pending.size - this.#waiting.length < MAX_RUNNING) this.#startNext();
  }

  /** Starts the next request in a later turn of the event loop, so that other connections are read. */
  #startNext(): void {
    const next = this.#waiting.shift();
    if (!next) return;
    setImmediate(() => {
      if (!this.#isClosed) next.start(performance.now() - next.receivedAtMs);
    });
  }

  #pause(): void {
    if (this.#isPaused) return;
    this.#isPaused = true;
    this.#socket.pause();
    const createFields = () => ({
      remoteAddress: this.#socket.remoteAddress,
      pendingRequests: this.#pending.size,
    });
    logger.info(performance.now(), createFields, 'connection paused behind its pending requests');
  }

  #continue(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#resume();
  }

  #pendingCloses(): boolean {
    return [...this.#pending].some(
      ({ destroyed, headersSent, shouldKeepAlive }) =>
        destroyed || (headersSent && !shouldKeepAlive),
    );
  }

  /**
   * Emits `close` on the responses that wait for those before them. Node.js emits it only on the one
   * at the head, so the requests of the others would keep running.
   */
  #endQueued(): void {
    this.#isClosed = true;
    const queued = [...this.#pending].filter(({ socket }) => socket === null);
    queued.forEach((response) => response.emit('close'));
  }
}
