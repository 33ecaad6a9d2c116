import { PassThrough } from 'node:stream';

import { err } from 'neverthrow';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import { UpstreamCall } from '../../connection/UpstreamCall/index.js';
import { copyHeaders } from '../../connection/copyHeaders/index.js';

import type { CallSummary, UpstreamCallOptions } from '../../connection/UpstreamCall/index.js';

/** Bodies up to this size are held, so that a request that did not run can be sent elsewhere. */
const MAX_HELD_BODY_BYTES = 65_536;

/** How reading a small request body ended. */
export enum BodyState {
  /** Held in memory or absent; can be sent any number of times. */
  Repeatable = 'REPEATABLE',
  /** Streamed from the caller; can be sent once. */
  Streamed = 'STREAMED',
  /** The caller left or the deadline passed before the body was complete. */
  Incomplete = 'INCOMPLETE',
}

const NO_HEADERS: ReadonlySet<string> = new Set();

const hasStreamedBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined;

/**
 * One request of a caller and its response, over one or more calls to upstreams.
 *
 * The exchange ends the call in progress when the caller leaves or the deadline passes.
 */
export class Exchange {
  readonly method: string;

  /** Id of the request, once it is known; callers get it back with a refusal. */
  requestId: string | undefined;

  /** On the clock of `performance.now()`. */
  readonly startedAtMs = performance.now();

  /** Names and values in turn for the next hop. */
  readonly headers: string[];

  /** Internal headers that came with the request. */
  readonly internal: ReadonlyMap<string, string>;

  readonly #request: IncomingMessage;

  readonly response: ServerResponse;

  #body: Buffer | PassThrough | null = null;

  #call: UpstreamCall | undefined;

  #timer: NodeJS.Timeout | undefined;

  #endListeners: (() => void)[] = [];

  /** On the clock of `performance.now()`. */
  #endsAtMs = Infinity;

  #objectiveAtMs: number | undefined;

  #isCallerGone = false;

  #isPastDeadline = false;

  #isBodySent = false;

  #endsWithConnection = false;

  /** @param ownHeaders - lower-case names of headers that callers must not set */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    ownHeaders: ReadonlySet<string> = NO_HEADERS,
  ) {
    this.#request = request;
    this.response = response;
    this.method = request.method ?? 'GET';
    const copied = copyHeaders(request.rawHeaders, { isRequest: true, dropped: ownHeaders });
    this.headers = copied.headers;
    this.internal = copied.internal ?? new Map();
    response.on('close', () => this.#handleClose());
  }

  get isCallerGone(): boolean {
    return this.#isCallerGone;
  }

  get isPastDeadline(): boolean {
    return this.#isPastDeadline;
  }

  /** Tells whether the exchange has to be given up. */
  get isOver(): boolean {
    return this.#isCallerGone || this.#isPastDeadline;
  }

  /** Tells whether the body can be sent (again) to an upstream. */
  get canSendBody(): boolean {
    return !(this.#body instanceof PassThrough) || !this.#isBodySent;
  }

  /** Tells whether part of the request body is still to come. */
  get hasUnreadBody(): boolean {
    return !this.#request.complete;
  }

  /** The held body, if it is held. */
  get heldBody(): Buffer | null | undefined {
    return this.#body instanceof PassThrough ? undefined : this.#body;
  }

  /**
   * Ends the exchange after a time.
   *
   * @param remainingMs - time left for the whole exchange
   */
  startDeadline(remainingMs: number): void {
    this.#endsAtMs = performance.now() + remainingMs;
    this.#timer = setTimeout(() => {
      this.#isPastDeadline = true;
      this.#giveUp('deadline passed');
    }, remainingMs);
  }

  /** Returns the time left for the exchange; Infinity before its deadline is known. */
  remainingMs(nowMs: number): number {
    return this.#endsAtMs - nowMs;
  }

  /** Notes the time within which a response is of full use. */
  setObjective(objectiveMs: number): void {
    this.#objectiveAtMs = performance.now() + objectiveMs;
  }

  /** Returns what is left of that time; undefined when there is none. */
  objectiveLeftMs(nowMs: number): number | undefined {
    return this.#objectiveAtMs === undefined ? undefined : this.#objectiveAtMs - nowMs;
  }

  /** Calls the listener when the exchange is given up; returns the unsubscriber. */
  onGivenUp(listener: () => void): () => void {
    this.#endListeners.push(listener);
    return () => {
      this.#endListeners = this.#endListeners.filter((other) => other !== listener);
    };
  }

  /** Reads a small body whole; prepares a larger one for streaming. */
  async readBody(): Promise<BodyState> {
    const lengthBytes = Number(this.#request.headers['content-length'] ?? 0);
    if (!hasStreamedBody(this.#request) && lengthBytes === 0) return BodyState.Repeatable;
    if (this.#request.headers.expect !== undefined) this.response.writeContinue();
    if (!hasStreamedBody(this.#request) && lengthBytes <= MAX_HELD_BODY_BYTES) {
      const body = await this.#holdBody(lengthBytes);
      if (!body) return BodyState.Incomplete;
      this.#body = body;
      return BodyState.Repeatable;
    }
    this.#body = this.#openStream();
    return BodyState.Streamed;
  }

  /**
   * Sends the request to one upstream and streams its response to the caller.
   *
   * @param dispatcher - pool of the upstream
   * @param target - path with query, and all header lines
   * @param options - handling of the response head
   */
  async call(
    dispatcher: Dispatcher,
    target: { path: string; headers: string[] },
    options: UpstreamCallOptions,
  ): Promise<Result<CallSummary, CallError>> {
    if (this.isOver) {
      const reason = 'exchange is over';
      return err(new CallError(CallErrorCode.Cancelled, reason, { isWritten: false }));
    }
    const call = new UpstreamCall(this.response, options);
    this.#call = call;
    const result = await call.send(dispatcher, {
      method: this.method,
      path: target.path,
      headers: target.headers,
      body: this.#body,
    });
    this.#call = undefined;
    if (call.isWritten) this.#isBodySent = true;
    return result;
  }

  /** Gives up the call in progress, but not the exchange: the request can be sent elsewhere. */
  cancelCall(reason: string): void {
    this.#call?.fail(reason);
  }

  /** Has the response to the caller end with its connection, because its length is not known. */
  endWithConnection(): void {
    this.response.shouldKeepAlive = false;
    this.response.useChunkedEncodingByDefault = false;
    this.#endsWithConnection = true;
  }

  /** Closes the connection of the caller, who would otherwise take a part for the whole. */
  destroy(): void {
    // An orderly close would look like the end of the response.
    if (this.#endsWithConnection) this.response.socket?.resetAndDestroy();
    this.response.destroy();
  }

  #holdBody(lengthBytes: number): Promise<Buffer | undefined> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      const unsubscribe = this.onGivenUp(() => resolve(undefined));
      this.#request.on('data', (chunk: Buffer) => chunks.push(chunk));
      this.#request.on('end', () => {
        unsubscribe();
        resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, lengthBytes));
      });
      this.#request.on('error', () => resolve(undefined));
    });
  }

  /** Streams apart from the request, because undici destroys the stream it is given on errors. */
  #openStream(): PassThrough {
    const stream = new PassThrough();
    stream.on('error', () => this.#request.unpipe(stream));
    this.#request.on('error', (error) => stream.destroy(error));
    this.#request.on('aborted', () => stream.destroy(new Error('caller left')));
    this.#request.pipe(stream);
    return stream;
  }

  #handleClose(): void {
    clearTimeout(this.#timer);
    if (this.response.writableFinished) return;
    this.#isCallerGone = true;
    this.#giveUp('caller left');
  }

  #giveUp(reason: string): void {
    this.#call?.cancel(reason);
    this.#endListeners.splice(0).forEach((listener) => listener());
  }
}
