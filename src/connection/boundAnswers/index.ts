/** Bounds the memory of answers that wait for callers that do not read them. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import type { Counter, MetricsRegistry } from '../../process/metrics/index.js';
import { resetConnection } from '../resetConnection/index.js';
import AnswerFlow from './_lib/AnswerFlow.js';
import AnswerLedger, { MIN_PAUSE_MS } from './_lib/AnswerLedger/index.js';
import type { AnswerEntry, AnswerOptions } from './_lib/AnswerLedger/index.js';

/** Memory of the smallest machine on which a node runs. */
const DEFAULT_MEMORY_MB = 250;
const BYTES_PER_MB = 1_048_576;
/**
 * The rest is for the process itself, for what it keeps of each paused answer, and for the receive
 * queues of upstreams, which hold about half as much as the send queues.
 */
const ACCOUNT_SHARE = 0.125;
/** Longer than answers wait for room at the next node, so that it ends those of its own callers first. */
const NODE_PAUSE_MS = 4_000;
const LINES_PER_SECOND = 5;

export type { AnswerFlow };

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

interface Connection {
  bounds: AnswerBounds;
  /** Whether the caller is another node. */
  isNode: boolean;
}

const connections = new WeakMap<Socket, Connection>();

interface OpenAnswer {
  response: ServerResponse;
  /** Called when the answer may be sent on; undefined if it does not wait for that. */
  onRoom: (() => void) | undefined;
  /** Whether it waits for the answers before it. */
  isQueued: boolean;
}

export interface AnswerBoundsOptions {
  metrics: MetricsRegistry;
  /** Memory of the machine. */
  memoryMb?: number | undefined;
}

/**
 * Account of the streamed answers on the connections of a node. The kernel keeps up to several
 * megabytes for each caller that does not read.
 */
export default class AnswerBounds {
  readonly #ledger: AnswerLedger;

  readonly #answers = new Map<AnswerEntry, OpenAnswer>();

  readonly #ended: Counter;

  constructor({ metrics, memoryMb = DEFAULT_MEMORY_MB }: AnswerBoundsOptions) {
    this.#ledger = new AnswerLedger(memoryMb * BYTES_PER_MB * ACCOUNT_SHARE);
    this.#ended = metrics.counter('unread_answers_ended');
    metrics.gauge('answers_paused', () => this.#ledger.pausedCount);
    metrics.gauge('answers_waiting', () => this.#ledger.waitingCount);
    metrics.gauge('answers_untaken_bytes', () => this.#ledger.countedBytes);
  }

  /**
   * Adds a connection, whose answers then count.
   *
   * @param socket - connection that was accepted
   * @param options - `isNode`: whether the caller is another node
   */
  addConnection(socket: Socket, { isNode }: { isNode: boolean }): void {
    connections.set(socket, { bounds: this, isNode });
  }

  /**
   * Adds an answer until its response is closed.
   *
   * @param response - response that is streamed
   * @param options - length of the answer, if it is known, and how long it may be paused at least
   */
  open(response: ServerResponse, options: AnswerOptions): AnswerFlow {
    const entry = this.#ledger.open(options);
    this.#answers.set(entry, { response, onRoom: undefined, isQueued: false });
    response.once('close', () => {
      this.#ledger.remove(entry);
      this.#answers.delete(entry);
      this.#grant(this.#ledger.grant(performance.now()));
    });
    return new AnswerFlow(this, entry);
  }

  /** See `AnswerFlow.record`. */
  record(entry: AnswerEntry, sentBytes: number, nowMs: number): boolean {
    const response = this.#answers.get(entry)?.response;
    if (!response) return true;
    // Behind other answers of its connection, it waits for those, not for its caller.
    const isQueued = response.socket === null;
    const isPaused = response.writableNeedDrain && !isQueued;
    if (isQueued) this.#awaitSocket(entry, response);
    if (isPaused && entry.pausedSinceMs === undefined) {
      response.once('drain', () => {
        this.#ledger.resume(entry);
        this.#grant(this.#ledger.grant(performance.now()));
      });
    }
    if (this.#ledger.add(entry, { sentBytes, isPaused }, nowMs)) return true;
    this.#ledger.endSurplus().forEach((surplus) => this.#end(surplus, nowMs));
    return false;
  }

  /** Records whether an answer is paused once the answers before it are sent. */
  #awaitSocket(entry: AnswerEntry, response: ServerResponse): void {
    const answer = this.#answers.get(entry);
    if (!answer || answer.isQueued) return;
    answer.isQueued = true;
    response.once('socket', () => {
      answer.isQueued = false;
      // Node.js writes what it holds of the answer after this event.
      queueMicrotask(() => this.record(entry, 0, performance.now()));
    });
  }

  /** See `AnswerFlow.onceRoom`. */
  onceRoom(entry: AnswerEntry, onRoom: () => void): void {
    const answer = this.#answers.get(entry);
    if (answer) answer.onRoom = onRoom;
  }

  /**
   * Ends answers where room is short, and sends others on. Called at short intervals.
   *
   * @param nowMs - current time on the clock of `performance.now()`
   */
  review(nowMs: number): void {
    const { ended, granted } = this.#ledger.review(nowMs);
    ended.forEach((entry) => this.#end(entry, nowMs));
    this.#grant(granted);
  }

  #grant(granted: AnswerEntry[]): void {
    granted.forEach((entry) => {
      const answer = this.#answers.get(entry);
      const onRoom = answer?.onRoom;
      if (!answer || !onRoom) return;
      answer.onRoom = undefined;
      onRoom();
    });
  }

  #end(entry: AnswerEntry, nowMs: number): void {
    const answer = this.#answers.get(entry);
    if (!answer) return;
    const { socket } = answer.response.req;
    this.#ended.value += 1;
    const createFields = () => ({
      remoteAddress: socket.remoteAddress,
      pausedMs: Math.round(nowMs - (entry.pausedSinceMs ?? nowMs)),
      sentBytes: entry.sentBytes,
      untakenBytes: Math.round(this.#ledger.countedBytes),
    });
    logger.info(
      nowMs,
      createFields,
      'answer broken off: its caller does not read, and room is short',
    );
    // A reset also frees what waits in the kernel.
    resetConnection(socket);
  }
}

/**
 * Adds an answer to the account of its node.
 *
 * @param response - response that is streamed
 * @param lengthBytes - length of the answer, if it is known
 * @returns undefined if its connection belongs to no account
 */
export const openAnswerFlow = (
  response: ServerResponse,
  lengthBytes?: number,
): AnswerFlow | undefined => {
  const connection = connections.get(response.req.socket);
  const minPauseMs = connection?.isNode ? NODE_PAUSE_MS : MIN_PAUSE_MS;
  return connection?.bounds.open(response, { lengthBytes, minPauseMs });
};
