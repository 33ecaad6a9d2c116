import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { InputHolder } from '../holdInput/index.js';
import { StartShare } from '../shareStarts/index.js';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';

/** Requests of one connection that are handled at the same time; callers send few ahead. */
const MAX_RUNNING = 16;
/** Pending requests from which on a connection is not read; above `MAX_RUNNING`, as a body is read. */
const MAX_PENDING = 32;
/** Pending requests of a connection that don't wait for a turn among those that send many ahead. */
const FEW_PENDING = 8;
/** Pending requests of all connections beyond their first few, from which on no more of them are read. */
const MAX_TOTAL_AHEAD = 256;
/** Requests read and dropped after the last response until the connection is destroyed. */
const MAX_DISCARDED = 1_024;
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

const pipelines = new WeakMap<Socket, ResponsePipeline>();

const turns = new StartShare();

let totalAhead = 0;

/** A request that waits until enough of those before it are answered. */
interface WaitingRequest {
  response: ServerResponse;
  receivedAtMs: number;
  start: (waitedMs: number) => void;
}

interface PlannedClose {
  /** Number of calls that want the connection closed after the response. */
  count: number;
  /** Whether the connection is kept once none of them wants that any more. */
  keepsAlive: boolean;
}

/**
 * Pending responses of one connection, in the order of their requests.
 *
 * A caller may send further requests before the first one is answered. Those behind a response that
 * closes the connection count as not received, and the caller sends them again, so none of them may
 * be handled.
 *
 * A caller that sends many requests ahead, or does not read its responses, gets a few of them handled
 * at the same time, in turn with others like it. What it has sent beyond those is not parsed.
 *
 * @example
 * const pipeline = ResponsePipeline.of(request.socket);
 * if (!pipeline.add(response, { isClosing: isDraining })) pipeline.discard(request);
 * else pipeline.run((waitedMs) => handle(request, response, waitedMs));
 */
export default class ResponsePipeline {
  readonly #socket: Socket;

  readonly #input: InputHolder;

  readonly #pending = new Set<ServerResponse>();

  #waiting: WaitingRequest[] = [];

  /** Running requests that were started in a turn. */
  readonly #inTurn = new Set<ServerResponse>();

  /** The response to the request that was received last. */
  #last: ServerResponse | undefined;

  /** The last response, if it closes the connection only as long as it is the last. */
  #closingLast: ServerResponse | undefined;

  #isClosed = false;

  /** Responses after which the connection is to be closed, unless that is withdrawn. */
  readonly #plannedCloses = new Map<ServerResponse, PlannedClose>();

  /** Whether a request was dropped, which the caller sends again once the connection is closed. */
  #hasDropped = false;

  #isPaused = false;

  #isStarting = false;

  #discardedCount = 0;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#input = new InputHolder(socket, {
      mayParse: () => !this.#isPaused,
      countBodyBytes: () => this.#countBodyBytes(),
      onParsed: () => this.#startWaiting(),
    });
    socket.on('drain', () => this.#startWaiting());
    socket.once('end', () => this.#dropWaiting());
    socket.once('close', () => this.#endQueued());
  }

  /**
   * Returns the pipeline of a connection; creates it if there is none, best before its first request.
   */
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
    const { req } = response;
    if (req.headers['transfer-encoding'] !== undefined) this.#input.joinParts(req);
    if (this.#isClosed || this.#pendingCloses()) return false;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = true;
    this.#closingLast = isClosing && response.shouldKeepAlive ? response : undefined;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = false;
    this.#pending.add(response);
    this.#last = response;
    if (this.#pending.size > FEW_PENDING) totalAhead += 1;
    response.once('close', () => this.#remove(response));
    if (!this.#mayAddMore()) this.#pause();
    return true;
  }

  /**
   * Closes the connection after a response whose head is not written yet. Requests that arrive from now
   * on are not handled.
   *
   * @param response - a pending response
   * @returns a function that withdraws this close; it has no effect if the head was written or a request
   *   was dropped meanwhile
   */
  closeAfter(response: ServerResponse): () => void {
    const target = response;
    const isClosedOtherwise = this.#isClosed && this.#plannedCloses.size === 0;
    const planned = this.#plannedCloses.get(response) ?? {
      count: 0,
      keepsAlive: response.shouldKeepAlive,
    };
    target.shouldKeepAlive = false;
    this.#isClosed = true;
    if (isClosedOtherwise) return () => undefined;
    planned.count += 1;
    this.#plannedCloses.set(response, planned);
    return () => this.#withdrawClose(response);
  }

  /**
   * Handles the request that was added last, at once or when enough of those before it are answered.
   *
   * @param start - called with the time that the request has waited, in milliseconds; not called if
   *   the connection closes before
   */
  run(start: (waitedMs: number) => void): void {
    const response = this.#last;
    if (!response) return;
    const nowMs = performance.now();
    const receivedAtMs = nowMs - this.#input.computeHeldMs(nowMs);
    this.#waiting.push({ response, receivedAtMs, start });
    if (this.#isStarting) return;
    this.#isStarting = true;
    // The requests that were received together with it show whether the caller sends many ahead.
    queueMicrotask(() => {
      this.#isStarting = false;
      this.#startWaiting();
    });
  }

  /** Running requests that were started in a turn. */
  get runningTurns(): number {
    return this.#inTurn.size;
  }

  /** Starts the next request in a turn; called by the share of turns. */
  startNext(): boolean {
    const next = this.#mayStart() ? this.#waiting.shift() : undefined;
    if (!next) return false;
    this.#inTurn.add(next.response);
    this.#start(next);
    this.#askForTurn();
    return true;
  }

  /** Reads and drops a request that must not be handled. */
  discard(request: IncomingMessage): void {
    this.#discardedCount += 1;
    this.#hasDropped = true;
    request.resume();
    if (!this.#isClosed) this.#pause();
    else if (this.#discardedCount > MAX_DISCARDED) this.#socket.destroy();
  }

  #withdrawClose(response: ServerResponse): void {
    const target = response;
    const planned = this.#plannedCloses.get(response);
    if (!planned) return;
    planned.count -= 1;
    if (planned.count > 0) return;
    this.#plannedCloses.delete(response);
    if (response.headersSent || this.#hasDropped || this.#socket.destroyed) return;
    target.shouldKeepAlive = planned.keepsAlive;
    if (this.#plannedCloses.size > 0) return;
    this.#isClosed = false;
    this.#startWaiting();
  }

  #remove(response: ServerResponse): void {
    this.#plannedCloses.delete(response);
    this.#isClosed ||= !response.shouldKeepAlive || this.#socket.destroyed;
    if (this.#pending.size > FEW_PENDING) totalAhead -= 1;
    this.#pending.delete(response);
    if (this.#inTurn.delete(response)) turns.end();
    if (this.#mayAddMore() || this.#isClosed) this.#continue();
    if (this.#isClosed || this.#pendingCloses()) this.#dropWaiting();
    if (this.#waiting.length === 0 && turns.waiting === 0) return;
    // In a later turn of the event loop, so that other connections are read.
    setImmediate(() => this.#startWaiting());
  }

  /** Whether a further request may be read. */
  #mayAddMore(): boolean {
    const { size } = this.#pending;
    return size <= FEW_PENDING || (size < MAX_PENDING && totalAhead < MAX_TOTAL_AHEAD);
  }

  #mayStart(): boolean {
    const isOpen = !this.#isClosed && !this.#socket.readableEnded;
    return isOpen && this.#pending.size - this.#waiting.length < MAX_RUNNING;
  }

  /** Whether the caller has sent many requests ahead. */
  get #isAhead(): boolean {
    const { size } = this.#pending;
    return size > FEW_PENDING || (size > 1 && this.#input.isBehind);
  }

  #startWaiting(): void {
    while (this.#waiting.length > 0 && this.#mayStart() && !this.#isAhead) {
      const next = this.#waiting.shift();
      if (next) this.#start(next);
    }
    this.#askForTurn();
    turns.grant();
  }

  /** Asks for a turn if a request may be started and the caller reads the responses. */
  #askForTurn(): void {
    const mayAsk = this.#waiting.length > 0 && this.#mayStart() && !this.#socket.writableNeedDrain;
    if (mayAsk) turns.ask(this);
  }

  #start({ start, receivedAtMs }: WaitingRequest): void {
    start(performance.now() - receivedAtMs);
  }

  /** Gives up the requests that were not started. */
  #dropWaiting(): void {
    this.#hasDropped ||= this.#waiting.length > 0;
    this.#waiting = [];
    turns.withdraw(this);
  }

  /** Returns how many bytes the body of the last request has; Infinity for one in chunks. */
  #countBodyBytes(): number {
    const request = this.#last?.req;
    if (!request || request.complete) return 0;
    const lengthBytes = request.headers['content-length'];
    return lengthBytes === undefined ? Infinity : Number(lengthBytes);
  }

  #pause(): void {
    if (this.#isPaused) return;
    this.#isPaused = true;
    const createFields = () => ({
      remoteAddress: this.#socket.remoteAddress,
      pendingRequests: this.#pending.size,
    });
    logger.info(performance.now(), createFields, 'connection paused behind its pending requests');
  }

  #continue(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#input.schedule();
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
    this.#dropWaiting();
    const queued = [...this.#pending].filter(({ socket }) => socket === null);
    queued.forEach((response) => response.emit('close'));
  }
}
