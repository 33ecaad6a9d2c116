import { err } from 'neverthrow';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import { CallError, CallErrorCode } from '../../connection/CallError/index.js';
import ResponsePipeline from '../../connection/ResponsePipeline/index.js';
import { UpstreamCall } from '../../connection/UpstreamCall/index.js';
import { copyHeaders } from '../../connection/copyHeaders/index.js';
import { abortResponse, delimitByClose } from '../../connection/delimitByClose/index.js';
import findHeader from '../../connection/findHeader/index.js';
import { onWastefulBody } from '../../connection/limitBodyParts/index.js';
import GrowingBuffer from '../../process/GrowingBuffer/index.js';
import PolledTimeout from '../../process/PolledTimeout/index.js';
import { digestBody, fingerprintRequest } from '../fingerprintRequest/index.js';
import StreamedBody from './StreamedBody.js';

import type { WithheldResponse } from '../../connection/CallError/index.js';
import type { CallSummary, UpstreamCallOptions } from '../../connection/UpstreamCall/index.js';

/** Bodies up to this size are buffered, so that a request can be sent to another server. */
const MAX_BUFFERED_BODY_BYTES = 65_536;

/** Result of reading a request body. */
export enum BodyState {
  /** Buffered or absent; can be sent any number of times. */
  Repeatable = 'REPEATABLE',
  /** Streamed from the caller; can be sent once. */
  Streamed = 'STREAMED',
  /** The caller disconnected or the deadline passed before the body was complete. */
  Incomplete = 'INCOMPLETE',
}

const NO_HEADERS: ReadonlySet<string> = new Set();

const hasChunkedBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined;

export interface ExchangeOptions {
  reservedHeaders?: ReadonlySet<string>;
  waitedMs?: number;
}

/**
 * A request of a caller and its response, over one or more calls to upstreams.
 *
 * Cancels the calls in progress when the caller disconnects or the deadline passes.
 */
export class Exchange {
  readonly method: string;

  /** Id of the request, once it is known; included in refusals. */
  requestId: string | undefined;

  /** When the request was received, on the clock of `performance.now()`. */
  readonly startedAtMs: number;

  /** Headers for the next hop, as alternating names and values. */
  headers: string[];

  /** Internal headers of the request, by lower-case name. */
  readonly internalHeaders: ReadonlyMap<string, string>;

  readonly #request: IncomingMessage;

  readonly response: ServerResponse;

  #body: Buffer | StreamedBody | null = null;

  readonly #calls = new Set<UpstreamCall>();

  #deadlineTimeout: PolledTimeout | undefined;

  #decisionListeners: (() => void)[] = [];

  /** On the clock of `performance.now()`. */
  #deadlineAtMs = Infinity;

  #objectiveAtMs: number | undefined;

  #isCallerGone = false;

  #isPastDeadline = false;

  /** Whether the body was in very short chunks for too long. */
  #isBodyWasteful = false;

  #isBodySent = false;

  /**
   * @param request - incoming request
   * @param response - response to the caller
   * @param options - lower-case names of headers that callers must not set, and the time since the
   *   request was received, in milliseconds
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    { reservedHeaders = NO_HEADERS, waitedMs = 0 }: ExchangeOptions = {},
  ) {
    this.startedAtMs = performance.now() - waitedMs;
    this.#request = request;
    this.response = response;
    this.method = request.method ?? 'GET';
    const copied = copyHeaders(request.rawHeaders, { isRequest: true, dropped: reservedHeaders });
    this.headers = copied.headers;
    this.internalHeaders = copied.internal ?? new Map();
    response.on('close', () => this.#handleClose());
    if (hasChunkedBody(request)) onWastefulBody(request, () => this.#endWastefulBody());
  }

  /**
   * Removes headers from those for the next hop.
   *
   * @param names - lower-case names
   */
  dropHeaders(names: ReadonlySet<string>): void {
    this.headers = this.headers.filter(
      (_, index, headers) => !names.has((headers[index - (index % 2)] ?? '').toLowerCase()),
    );
  }

  get isCallerGone(): boolean {
    return this.#isCallerGone;
  }

  get isPastDeadline(): boolean {
    return this.#isPastDeadline;
  }

  /** Whether the caller disconnected, the deadline passed or the body was ended as too wasteful. */
  get isAborted(): boolean {
    return this.#isCallerGone || this.#isPastDeadline || this.#isBodyWasteful;
  }

  /** Whether no response was begun, and one can be. */
  get canBeAnswered(): boolean {
    return !this.isAborted && !this.response.headersSent;
  }

  /** Whether the request can be sent to an upstream, possibly beside or after another one. */
  get canBeSent(): boolean {
    if (!this.canBeAnswered) return false;
    const isBodyTaken = this.#isBodySent || this.#calls.size > 0;
    return !(this.#body instanceof StreamedBody) || !isBodyTaken;
  }

  /** Whether the request body has not been received completely. */
  get hasUnreadBody(): boolean {
    return !this.#request.complete;
  }

  /** The buffered body; null when the request has none, undefined when it is streamed. */
  get bufferedBody(): Buffer | null | undefined {
    return this.#body instanceof StreamedBody ? undefined : this.#body;
  }

  /**
   * Starts the timer that aborts the exchange.
   *
   * @param timeoutMs - time left for the whole exchange; 0 or less if it is over already
   */
  startDeadline(timeoutMs: number): void {
    this.#deadlineAtMs = performance.now() + timeoutMs;
    this.#isPastDeadline = timeoutMs <= 0;
    this.#deadlineTimeout = new PolledTimeout(() => {
      this.#isPastDeadline = true;
      this.#abort('deadline passed');
    }, timeoutMs);
  }

  /**
   * Returns the time left until the deadline, in milliseconds; Infinity before the deadline is set.
   *
   * @param nowMs - current time on the clock of `performance.now()`
   */
  getRemainingMs(nowMs: number): number {
    return this.#deadlineAtMs - nowMs;
  }

  /**
   * Sets the time left to meet the target latency.
   *
   * @param objectiveMs - time from now
   */
  setObjective(objectiveMs: number): void {
    this.#objectiveAtMs = performance.now() + objectiveMs;
  }

  /**
   * Returns the time left to meet the target latency, in milliseconds; undefined when none is set.
   *
   * @param nowMs - current time on the clock of `performance.now()`
   */
  getObjectiveRemainingMs(nowMs: number): number | undefined {
    return this.#objectiveAtMs === undefined ? undefined : this.#objectiveAtMs - nowMs;
  }

  /**
   * Registers a listener for the moment from which nothing needs to be sent to an upstream any more.
   *
   * @param listener - called once, when the caller disconnects, the deadline passes or a call begins to
   *   write its response
   * @returns a function that removes the listener
   */
  onDecided(listener: () => void): () => void {
    this.#decisionListeners.push(listener);
    return () => {
      this.#decisionListeners = this.#decisionListeners.filter((other) => other !== listener);
    };
  }

  /**
   * Registers a listener for the end of the exchange, whatever its outcome.
   *
   * @param listener - called once, when the response is sent or its connection is closed
   */
  onClosed(listener: () => void): void {
    this.response.once('close', listener);
  }

  /**
   * Computes the fingerprints by which repeats of the request are recognized.
   *
   * @param path - path with query
   * @param callerService - service on the VM of the entry node; empty when there is none
   */
  computeFingerprints(path: string, callerService: string): bigint[] {
    const { method } = this;
    const host = this.#request.headers.host ?? '';
    const bodyDigest = this.#digestBody();
    return fingerprintRequest({ method, host, path, bodyDigest, callerService });
  }

  /** Whether the body is not buffered completely before the request is sent. */
  get hasStreamedBody(): boolean {
    return hasChunkedBody(this.#request) || this.#lengthBytes > MAX_BUFFERED_BODY_BYTES;
  }

  /**
   * Buffers a small body completely; prepares a larger or chunked one for streaming.
   *
   * @param options - whether a streamed body is held until the bytes that identify it have arrived
   */
  async readBody({ isHeld = false } = {}): Promise<BodyState> {
    if (!this.hasStreamedBody && this.#lengthBytes === 0) return BodyState.Repeatable;
    if (this.#request.headers.expect !== undefined) {
      await this.#awaitTurn();
      if (this.isAborted) return BodyState.Incomplete;
      this.response.writeContinue();
    }
    if (!this.hasStreamedBody) {
      const body = await this.#bufferBody();
      if (!body) return BodyState.Incomplete;
      this.#body = body;
      return BodyState.Repeatable;
    }
    const body = this.#createBodyStream(isHeld);
    this.#body = body;
    if (isHeld && !(await this.#waitUntilIdentified(body))) return BodyState.Incomplete;
    return BodyState.Streamed;
  }

  /**
   * Sends the request to one upstream and streams its response to the caller. Of several calls at the
   * same time, the first that begins to write its response cancels the others.
   *
   * @param dispatcher - pool of the upstream
   * @param target - path with query, and all headers as alternating names and values
   * @param options - handling of the response head
   * @returns the status passed on, or what is known about a failure
   */
  async call(
    dispatcher: Dispatcher,
    target: { path: string; headers: string[] },
    options: UpstreamCallOptions,
  ): Promise<Result<CallSummary, CallError>> {
    if (!this.canBeAnswered) {
      const reason = 'the exchange is already aborted or answered';
      return err(new CallError(CallErrorCode.Cancelled, reason, { isWritten: false }));
    }
    const call = new UpstreamCall(this.response, {
      ...options,
      onWriting: () => this.#cancelOthers(call),
    });
    this.#calls.add(call);
    const result = await call.send(dispatcher, {
      method: this.method,
      path: target.path,
      headers: target.headers,
      body: this.#body instanceof StreamedBody ? this.#body.stream : this.#body,
    });
    this.#calls.delete(call);
    if (call.isWritten) this.#isBodySent = true;
    return result;
  }

  /** Sends a response that was withheld before. */
  sendWithheld({ statusCode, headers, body }: WithheldResponse): void {
    const hasLength = findHeader(headers, 'content-length') !== undefined;
    if (!hasLength && !this.response.useChunkedEncodingByDefault) this.delimitByClose();
    this.response.writeHead(statusCode, headers);
    this.response.end(body);
  }

  /**
   * Closes the connection after the response.
   *
   * @returns a function that keeps the connection again, unless requests behind were dropped meanwhile
   */
  closeAfterResponse(): () => void {
    return ResponsePipeline.of(this.#request.socket).closeAfter(this.response);
  }

  /** Delimits the response by closing the connection, because its length is not known. */
  delimitByClose(): void {
    delimitByClose(this.response);
  }

  /** Closes the connection, so that the caller does not take a partial response for complete. */
  destroy(): void {
    abortResponse(this.response);
  }

  get #lengthBytes(): number {
    return Number(this.#request.headers['content-length'] ?? 0);
  }

  #digestBody(): Buffer | undefined {
    if (this.#body instanceof StreamedBody) return this.#body.digest;
    return this.#body ? digestBody(this.#body) : undefined;
  }

  /** Resolves with false if the exchange is aborted before. */
  #waitUntilIdentified({ identified }: StreamedBody): Promise<boolean> {
    if (this.isAborted) return Promise.resolve(false);
    const aborted = new Promise<boolean>((resolve) => {
      this.onDecided(() => resolve(false));
    });
    return Promise.race([identified.then(() => true), aborted]);
  }

  /**
   * Waits until the responses before this one on its connection are sent. Node.js would write
   * `100 Continue` after the head of a response that still waits, into its body.
   */
  async #awaitTurn(): Promise<void> {
    if (this.response.socket !== null) return;
    await new Promise<void>((resolve) => {
      const unsubscribe = this.onDecided(resolve);
      this.response.once('socket', () => {
        unsubscribe();
        resolve();
      });
    });
  }

  #bufferBody(): Promise<Buffer | undefined> {
    return new Promise((resolve) => {
      const body = new GrowingBuffer();
      const unsubscribe = this.onDecided(() => resolve(undefined));
      this.#request.on('data', (part: Buffer) => body.append(part));
      this.#request.on('end', () => {
        unsubscribe();
        resolve(body.take());
      });
      this.#request.on('error', () => resolve(undefined));
    });
  }

  /** Pipes the request into a separate stream, because undici destroys its input stream on errors. */
  #createBodyStream(isHeld: boolean): StreamedBody {
    const body = new StreamedBody({ isHeld });
    const { stream } = body;
    stream.on('error', () => this.#request.unpipe(stream));
    this.#request.on('error', (error) => stream.destroy(error));
    this.#request.on('aborted', () => stream.destroy(new Error('caller disconnected')));
    this.#request.pipe(stream);
    return body;
  }

  #handleClose(): void {
    this.#deadlineTimeout?.cancel();
    if (this.response.writableFinished) return;
    this.#isCallerGone = true;
    this.#abort('caller disconnected');
  }

  /** Has the request answered as not run, or as unknown once a byte of it may have been sent on. */
  #endWastefulBody(): void {
    this.#isBodyWasteful = true;
    if (this.response.writableEnded) this.#request.socket.destroySoon();
    else if (this.response.headersSent) this.destroy();
    else this.#abort('the body consists of very short chunks');
  }

  #cancelOthers(answering: UpstreamCall): void {
    [...this.#calls]
      .filter((call) => call !== answering)
      .forEach((call) => call.cancel('another server answered first'));
    this.#decisionListeners.splice(0).forEach((listener) => listener());
  }

  #abort(reason: string): void {
    this.#calls.forEach((call) => call.cancel(reason));
    this.#decisionListeners.splice(0).forEach((listener) => listener());
  }
}
