/** Client that uses each connection until it is closed, with several requests behind one another. */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';
import { drawInteger } from '../createSeededRandom/index.js';
import type { Random } from '../createSeededRandom/index.js';
import ResponseReader from './ResponseReader.js';
import type { ReceivedResponse } from './ResponseReader.js';

export type { ReceivedResponse };

/** How a request ended for the client. */
export enum RequestEnd {
  Pending = 'PENDING',
  Answered = 'ANSWERED',
  /** The connection closed before the response was complete. */
  Unanswered = 'UNANSWERED',
  /** Still unanswered on an open connection long after its deadline. */
  GivenUp = 'GIVEN_UP',
  /** It was sent behind a response that closes the connection, so it counts as not received. */
  BehindClose = 'BEHIND_CLOSE',
  /** The client closed the connection before the response was complete. */
  Left = 'LEFT',
}

/** A request that was written to a connection. */
export interface KeptRequest {
  attemptId: string;
  isOrder: boolean;
  /** Times of its first and its last byte, on the clock of `performance.now()`. */
  beganAtMs: number;
  sentAtMs: number;
  end: RequestEnd;
  /** Time at which its response was complete. */
  answeredAtMs?: number;
  /** Time at which the node or the client closed the connection without a response to it. */
  closedAtMs?: number;
  /** What had been received of its response or of one before it. */
  received?: string;
  /** Whether its body was sent in chunks. */
  isChunked: boolean;
  statusCode: number | undefined;
  response?: ReceivedResponse;
}

export interface KeepingClientOptions {
  /** `IP:port` of the node. */
  address: string;
  service: string;
  /** Prefix of the ids of its requests. */
  name: string;
  random: Random;
  /** Share of the requests that are orders, half of them by default. */
  orderShare?: number;
  /** Largest number of requests sent behind one another. */
  maxBurst?: number;
  /** Longest time between the last response and the next request. */
  maxPauseMs?: number;
  /** Share of the bursts after which the client leaves before all are answered; never by default. */
  leaveShare?: number;
}

const DEFAULT_ORDER_SHARE = 0.5;
const MAX_BURST = 3;
const MAX_PAUSE_MS = 150;
const MIN_STAY_MS = 20;
const MAX_STAY_MS = 900;
const MAX_CHUNK_PAUSE_MS = 80;
const RECONNECT_DELAY_MS = 100;
/** What each request states as the time that is left. */
export const DEADLINE_MS = 2_000;
/** Far above the deadline, by which each request is answered. */
const GIVE_UP_MS = 6_000;
const ORDER_PARTS = ['one bundle of ', 'willow rods'];

/** Waits for an event for a bounded time; an error of the connection does not reject. */
const waitForEvent = (socket: Socket, event: string, timeoutMs: number): Promise<void> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => resolve(), timeoutMs);
    socket.once(event, () => {
      clearTimeout(timer);
      resolve();
    });
  });

export default class KeepingClient {
  readonly sent: KeptRequest[] = [];

  /** Responses that arrived on a connection without a request waiting. */
  readonly unasked: ReceivedResponse[] = [];

  readonly #options: KeepingClientOptions;

  constructor(options: KeepingClientOptions) {
    this.#options = options;
  }

  /** `IP:port` of the node. */
  get address(): string {
    return this.#options.address;
  }

  /**
   * Sends requests until the end; opens a new connection when one has closed.
   *
   * @param isOver - whether to stop after the requests in progress
   */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.#useConnection(isOver);
      await sleep(RECONNECT_DELAY_MS);
    }
  }

  async #useConnection(isOver: () => boolean): Promise<void> {
    const [host, port] = this.#options.address.split(':');
    const socket = connect(Number(port), host);
    const reader = new ResponseReader();
    const pending: KeptRequest[] = [];
    let isClosing = false;
    const accept = (response: ReceivedResponse): void => {
      const request = pending.shift();
      if (request) {
        request.end = RequestEnd.Answered;
        request.answeredAtMs = performance.now();
        request.statusCode = response.statusCode;
        request.response = response;
      } else this.unasked.push(response);
      isClosing ||= response.isClosing;
    };
    socket.on('data', (chunk: Buffer) => {
      reader.add(chunk).forEach(accept);
      socket.emit('answered');
    });
    socket.on('end', () => {
      const response = reader.finish();
      if (response) accept(response);
    });
    // A node that is down refuses the connection, and one that ends resets it.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      const end = isClosing ? RequestEnd.BehindClose : RequestEnd.Unanswered;
      const closedAtMs = performance.now();
      const received = reader.incomplete;
      pending.splice(0).forEach((request) => Object.assign(request, { end, closedAtMs, received }));
      socket.emit('answered');
    });
    const isUsable = (): boolean => !socket.destroyed && !isClosing;
    const { random, maxPauseMs = MAX_PAUSE_MS } = this.#options;
    while (isUsable() && !isOver()) {
      await this.#sendBurst(socket, pending, isUsable);
      const stayMs = this.#drawStayMs();
      const leaveAtMs = performance.now() + (stayMs ?? GIVE_UP_MS);
      const isWaiting = (): boolean => pending.length > 0 && performance.now() < leaveAtMs;
      while (isUsable() && isWaiting()) {
        await waitForEvent(socket, 'answered', leaveAtMs - performance.now());
      }
      if (isUsable() && pending.length > 0) {
        const end = stayMs === undefined ? RequestEnd.GivenUp : RequestEnd.Left;
        const closedAtMs = performance.now();
        pending.splice(0).forEach((request) => Object.assign(request, { end, closedAtMs }));
        socket.destroy();
      }
      await sleep(drawInteger(random, 0, maxPauseMs));
    }
    // The rest of the responses, up to the close by the node.
    if (isClosing && !socket.destroyed) await waitForEvent(socket, 'close', GIVE_UP_MS);
    socket.destroy();
  }

  /** Draws how long the client waits before it leaves; undefined if it waits for all responses. */
  #drawStayMs(): number | undefined {
    const { random, leaveShare = 0 } = this.#options;
    // Clients that never leave draw nothing for it, so that their sequences stay what they were.
    if (leaveShare === 0 || random() >= leaveShare) return undefined;
    return drawInteger(random, MIN_STAY_MS, MAX_STAY_MS);
  }

  async #sendBurst(socket: Socket, pending: KeptRequest[], isUsable: () => boolean): Promise<void> {
    const { random, maxBurst = MAX_BURST } = this.#options;
    const count = drawInteger(random, 1, maxBurst);
    for (let index = 0; index < count && isUsable(); index += 1) {
      await this.#sendOne(socket, pending);
    }
  }

  async #sendOne(socket: Socket, pending: KeptRequest[]): Promise<void> {
    const { name, service, random, orderShare = DEFAULT_ORDER_SHARE } = this.#options;
    const attemptId = `${name}-${this.sent.length}`;
    const isOrder = random() < orderShare;
    const isChunked = isOrder && random() < 1 / 2;
    const body = ORDER_PARTS.join('');
    const lines = [
      isOrder ? `POST /${service}/orders/1 HTTP/1.1` : `GET /${service}/1 HTTP/1.1`,
      'host: shop.example',
      `attempt-id: ${attemptId}`,
      `deadline-remaining: ${DEADLINE_MS}`,
      ...(isOrder && !isChunked ? [`content-length: ${body.length}`] : []),
      ...(isChunked ? ['transfer-encoding: chunked'] : []),
    ];
    const request: KeptRequest = {
      ...{ attemptId, isOrder, isChunked, beganAtMs: performance.now(), sentAtMs: 0 },
      ...{ end: RequestEnd.Pending, statusCode: undefined },
    };
    this.sent.push(request);
    pending.push(request);
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
    if (isChunked) {
      for (let index = 0; index < ORDER_PARTS.length; index += 1) {
        const part = ORDER_PARTS[index] ?? '';
        await sleep(drawInteger(random, 0, MAX_CHUNK_PAUSE_MS));
        socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
      }
      socket.write('0\r\n\r\n');
    } else if (isOrder) socket.write(body);
    request.sentAtMs = performance.now();
  }
}
