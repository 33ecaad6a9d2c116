import { err, ok } from 'neverthrow';
import { errors } from 'undici';

import type { ServerResponse } from 'node:http';
import type { Readable } from 'node:stream';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import GrowingBuffer from '../../process/GrowingBuffer/index.js';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { openAnswerFlow } from '../boundAnswers/index.js';
import { isHandlingReset } from '../watchResets/index.js';
import { copyHeaders } from '../copyHeaders/index.js';
import findHeader from '../findHeader/index.js';
import listHeaderValues from '../listHeaderValues/index.js';
import { CallError, CallErrorCode } from '../CallError/index.js';
import type ResponseHolder from '../holdResponses/index.js';
import type { HeldSpace } from '../holdResponses/index.js';
import findFieldFault from './_lib/findFieldFault/index.js';
import writeEarlyHints from './_lib/writeEarlyHints/index.js';
import type { AnswerFlow } from '../boundAnswers/index.js';

const PROCESSING = 102;
const EARLY_HINTS = 103;
const FIRST_FINAL_STATUS = 200;
/** Values above are not valid (RFC 9110, section 15). */
const LAST_STATUS = 599;
const GATEWAY_TIMEOUT = 504;
const MS_PER_SECOND = 1_000;
/** Reason code of a node that forwards the refusal of a server. */
const SERVER_REFUSED = 'SERVER_REFUSED';
/** Marks a response between nodes that the server sent without a length. */
export const UNFRAMED_HEADER = 'foxtailvane-unframed';
/** Responses up to this length are buffered until complete, so that a truncated one can be retried. */
const MAX_BUFFERED_BYTES = 65_536;
/** Early hints passed on per call; servers send one or two. */
const MAX_EARLY_HINTS = 8;
/** Shorter parts are joined: Node.js keeps several objects for each write, and a part may be a byte. */
const MIN_WRITE_BYTES = 4_096;
/** Largest part of a buffered body that is written at once. */
const MAX_WRITE_BYTES = 16_384;
/** A withheld body up to this length is dropped, so that its connection can be kept. */
const MAX_DROPPED_BYTES = 65_536;
/** Limit on log lines about parts of responses that are not passed on. */
const LINES_PER_SECOND = 5;

const droppedLog = createRateLimitedLogger('upstream', LINES_PER_SECOND);
const exceptionLog = createRateLimitedLogger('upstream', LINES_PER_SECOND);

/** A request to an upstream. */
export interface UpstreamRequest {
  method: string;
  /** Path with query. */
  path: string;
  /** Alternating names and values. */
  headers: string[];
  body: Buffer | Readable | null;
}

/** Head of a final response, before it is sent to the caller. */
export interface ResponseHead {
  statusCode: number;
  /** Alternating names and values, without internal and connection headers. */
  headers: string[];
  /** Internal headers of the upstream; undefined when there are none. */
  internal: Map<string, string> | undefined;
}

/** Summary of a response that was sent to the caller completely. */
export interface CallSummary {
  statusCode: number;
  /** Time from writing the request to the end of the response, without pauses by backpressure. */
  upstreamMs: number;
}

/** Observes a response that is sent to the caller. */
export interface ResponseTap {
  /** Receives the head; `endsWithConnection`: whether nothing else marks the end of the response. */
  addHead: (head: ResponseHead, options: { endsWithConnection: boolean }) => void;
  addChunk: (chunk: Buffer) => void;
  /** Awaited before the response is ended. */
  finish: () => Promise<void>;
}

export interface UpstreamCallOptions {
  tap?: ResponseTap;
  /**
   * Called with the head of a response before it is sent to the caller; may add headers to it.
   */
  onHead?: (head: ResponseHead) => void;
  /**
   * Validates the head of a response before it is sent to the caller. A `Refused` error withholds the
   * response; any other error aborts the connection.
   */
  validateHead?: (head: ResponseHead) => CallError | undefined;
  /**
   * Called before the head of a response without a length is sent to the caller. Such a response ends
   * with its connection, and must not be framed as if its length were known.
   */
  onUnframed?: (head: ResponseHead) => void;
  /** Holds responses without a length until their end; set at the node that faces the caller. */
  holder?: ResponseHolder;
  /**
   * Called when a response is held, which will end with its connection unless the call fails; returns a
   * function that is called if it fails.
   */
  onHeld?: () => () => void;
  /** Returns whether early hints with these headers, alternating names and values, are passed on. */
  validateHints?: (headers: string[]) => boolean;
  /** Called before the head of the response is written; from then on no other call may write one. */
  onWriting?: () => void;
  /** Called when the upstream acknowledges that it received the request. */
  onAcknowledged?: () => void;
  /** Returns whether a response is withheld from the caller because the request is retried. */
  shouldWithhold?: (head: ResponseHead) => boolean;
  /** True when the upstream is a node, whose internal headers are trusted. */
  isNode: boolean;
}

const decodeHeaders = (raw: Buffer[]): string[] => raw.map((part) => part.toString('latin1'));

const BODYLESS_STATUS = new Set([204, 304]);

const CHUNKED_LAST = /(^|,)\s*chunked\s*$/i;

/** Returns whether the end of a response is marked only by the end of its connection. */
const isUnframed = (statusCode: number, method: string, raw: string[]): boolean => {
  if (method === 'HEAD' || BODYLESS_STATUS.has(statusCode)) return false;
  const codings = listHeaderValues(raw, 'transfer-encoding');
  // Any other last coding than chunked has no end of its own (RFC 9112, section 6.3).
  if (codings.length > 0) return !CHUNKED_LAST.test(codings.join());
  return findHeader(raw, 'content-length') === undefined;
};

const isBuffered = ({ headers }: ResponseHead): boolean => {
  const lengthBytes = findHeader(headers, 'content-length');
  return lengthBytes !== undefined && Number(lengthBytes) <= MAX_BUFFERED_BYTES;
};

/**
 * Returns whether an error that follows the head of a response is one of its trailers. Headers are
 * parsed again only after the last chunk, so the body is whole.
 */
const isTrailerError = (error: Error): boolean =>
  error instanceof errors.HeadersOverflowError ||
  (error instanceof errors.HTTPParserError && /header|Content-Length/.test(error.message));

const parseRetryAfterMs = (headers: string[]): number | undefined => {
  const seconds = Number(findHeader(headers, 'retry-after') ?? Number.NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
};

/**
 * One request to one upstream, whose response is streamed to the caller.
 *
 * The request may have run from the moment its headers are handed to the socket.
 */
export class UpstreamCall implements Dispatcher.DispatchHandler {
  readonly #response: ServerResponse;

  readonly #options: UpstreamCallOptions;

  #settle: (result: Result<CallSummary, CallError>) => void = () => undefined;

  #isSettled = false;

  #isWritten = false;

  /** Whether all of the response has arrived. */
  #isReceived = false;

  #isHeadWritten = false;

  #hasBody = false;

  #withheldError: CallError | undefined;

  /** Head of a withheld response that is kept, to be sent if no other server responds. */
  #keptHead: ResponseHead | undefined;

  #droppedBytes = 0;

  #isAcknowledged = false;

  #earlyHints = 0;

  #bufferedHead: ResponseHead | undefined;

  /** Body of a buffered response, or what of a streamed one waits to be written. */
  readonly #buffered = new GrowingBuffer();

  /** Space of a held response without a length. */
  #heldSpace: HeldSpace | undefined;

  #undoHeld: (() => void) | undefined;

  #statusCode = 0;

  /** Length of the body, if it is known. */
  #lengthBytes: number | undefined;

  #method = '';

  #writtenAtMs = 0;

  #pausedMs = 0;

  /** Short parts that were parsed and not written yet. */
  readonly #unwritten = new GrowingBuffer();

  #isWriteScheduled = false;

  /** Whether joined parts were written that the system has not taken. */
  #isWriting = false;

  /** Since when the caller has not read what was written; undefined while it reads. */
  #blockedAtMs: number | undefined;

  /** Place in the account of the node, once a part of the body is streamed. */
  #flow: AnswerFlow | undefined;

  #cancelReason: string | undefined;

  #abort: ((error?: Error) => void) | undefined;

  #resume: (() => void) | undefined;

  constructor(response: ServerResponse, options: UpstreamCallOptions) {
    this.#response = response;
    this.#options = options;
  }

  /** Whether a byte of the request may have been written. */
  get isWritten(): boolean {
    return this.#isWritten;
  }

  /**
   * Sends the request and streams the response.
   *
   * @param dispatcher - pool of the upstream
   * @param request - request without connection headers
   * @returns summary of the response sent to the caller, or how the call failed
   */
  send(dispatcher: Dispatcher, request: UpstreamRequest): Promise<Result<CallSummary, CallError>> {
    this.#method = request.method;
    return new Promise((resolve) => {
      this.#settle = resolve;
      try {
        dispatcher.dispatch(request, this);
      } catch (error) {
        this.onError(error as Error);
      }
    });
  }

  /**
   * Cancels the call; its connection is closed if the request was written.
   *
   * @param reason - message of the error
   */
  cancel(reason: string): void {
    if (this.#isSettled) return;
    this.#cancelReason = reason;
    if (this.#abort) this.#abort(new Error(reason));
    else this.onError(new Error(reason));
  }

  /** Called by undici immediately before it writes the request. */
  onConnect(abort: (error?: Error) => void): void {
    // undici may dispatch a request again after its connection closed; it must not be written twice.
    if (this.#isSettled || this.#isWritten) {
      abort();
      return;
    }
    this.#abort = abort;
    this.#isWritten = true;
    this.#writtenAtMs = performance.now();
  }

  /** Called by undici for each response head, including informational ones. */
  onHeaders(statusCode: number, raw: Buffer[], resume: () => void): boolean {
    if (this.#isSettled) return true;
    if (statusCode < FIRST_FINAL_STATUS) {
      this.#runOptional('informational response', () => {
        this.#forwardInformational(statusCode, raw);
      });
      return true;
    }
    this.#resume = resume;
    return this.#run('head', () => this.#receiveHead(statusCode, raw)) ?? false;
  }

  /** Called by undici for each part of the body; false pauses the upstream. */
  onData(chunk: Buffer): boolean {
    if (this.#isSettled) return true;
    return this.#run('body', () => this.#receivePart(chunk)) ?? false;
  }

  /** Called by undici when the response is complete. */
  onComplete(trailers: unknown): void {
    if (isHandlingReset() && !this.#withheldError) {
      const reason = 'the connection was reset before the end of the response';
      this.#finish(err(this.#toCallError(new Error(reason))));
      return;
    }
    this.#receiveEnd(trailers as Buffer[] | null);
  }

  /** Called by undici when the request failed. */
  onError(error: Error): void {
    if (this.#isReceived) return;
    const isWhole = this.#statusCode !== 0 && isTrailerError(error);
    if (isWhole && !this.#isSettled && this.#cancelReason === undefined) {
      this.#logDropped('trailers', error.message);
      this.#receiveEnd(null);
      return;
    }
    this.#finish(err(this.#withheldError ?? this.#toCallError(error)));
  }

  /** Returns whether to read on. */
  #receiveHead(statusCode: number, raw: Buffer[]): boolean {
    if (statusCode > LAST_STATUS) {
      const options = { isWritten: true };
      const message = `the status ${statusCode} is not valid`;
      return this.#refuseHead(new CallError(CallErrorCode.NoResponse, message, options));
    }
    this.#statusCode = statusCode;
    const decoded = decodeHeaders(raw);
    const copied = copyHeaders(decoded, { isRequest: false });
    const internal = this.#options.isNode ? copied.internal : undefined;
    const head: ResponseHead = { statusCode, headers: copied.headers, internal };
    this.#options.onHead?.(head);
    const headError = this.#options.validateHead?.(head);
    if (headError && headError.code !== CallErrorCode.Refused) return this.#refuseHead(headError);
    const endsWithConnection = this.#endsWithConnection(head, decoded);
    const failure = headError ?? this.#findNodeError(head);
    const shedError = failure ? undefined : this.#findShedError(head);
    this.#withheldError = failure ?? shedError;
    if (shedError && !endsWithConnection && !findFieldFault(head.headers)) this.#keptHead = head;
    if (this.#withheldError) return true;
    this.#options.tap?.addHead(head, { endsWithConnection });
    if (isBuffered(head)) {
      this.#bufferedHead = head;
      return true;
    }
    if (endsWithConnection) {
      this.#heldSpace = this.#options.holder?.open();
      if (this.#heldSpace) {
        this.#bufferedHead = head;
        this.#undoHeld = this.#options.onHeld?.();
        return true;
      }
      this.#options.onUnframed?.(head);
    }
    const length = findHeader(head.headers, 'content-length');
    this.#lengthBytes = length === undefined ? undefined : Number(length);
    this.#writeHead(head);
    this.#schedule('head', () => this.#flushHead());
    return true;
  }

  /** Ends the call and its connection; returns that nothing is to be read on. */
  #refuseHead(error: CallError): false {
    this.#finish(err(error));
    this.#abort?.(error);
    return false;
  }

  /** Returns whether to read on. */
  #receivePart(chunk: Buffer): boolean {
    if (this.#withheldError) {
      this.#dropChunk(chunk, this.#withheldError);
      return true;
    }
    this.#hasBody = true;
    this.#options.tap?.addChunk(chunk);
    if (this.#bufferedHead && this.#heldSpace?.add(chunk.length) === false) {
      this.#sendHeld(this.#bufferedHead);
    }
    if (this.#bufferedHead || this.#buffered.sizeBytes > 0) {
      this.#buffered.append(chunk);
      return this.#bufferedHead !== undefined;
    }
    const isFirst = this.#unwritten.sizeBytes === 0;
    if (isFirst && chunk.length >= MIN_WRITE_BYTES) return this.#write(chunk);
    this.#unwritten.append(chunk);
    if (isFirst || this.#unwritten.sizeBytes >= MIN_WRITE_BYTES) this.#scheduleWrite();
    return this.#blockedAtMs === undefined;
  }

  /** Sends the end of a response that has arrived completely; `trailers`: names and values. */
  #receiveEnd(trailers: Buffer[] | null): void {
    const upstreamMs = performance.now() - this.#writtenAtMs - this.#pausedMs;
    if (this.#withheldError) {
      this.#finish(err(this.#attachKept(this.#withheldError, upstreamMs)));
      return;
    }
    this.#isReceived = true;
    const complete = (): void => {
      if (this.#isSettled) return;
      this.#run('end', () => {
        this.#end(trailers);
        this.#finish(ok({ statusCode: this.#statusCode, upstreamMs }));
      });
    };
    const { tap } = this.#options;
    if (tap) this.#run('end', () => tap.finish().then(complete, complete));
    else complete();
  }

  /**
   * Runs a step of the call. Nothing catches its exception outside of a callback of undici, and inside
   * of one the parser stops, so an exception ends the call as failed.
   *
   * @returns undefined after an exception
   */
  #run<Outcome>(step: string, run: () => Outcome): Outcome | undefined {
    try {
      return run();
    } catch (error) {
      const { message } = error as Error;
      const createContext = () => ({ step, reason: message, statusCode: this.#statusCode });
      exceptionLog.info(performance.now(), createContext, 'response cannot be passed on');
      this.#finish(err(this.#toCallError(error as Error)));
      this.#abort?.(error as Error);
      return undefined;
    }
  }

  /** Runs a step that the caller does not need; an exception is logged. */
  #runOptional(part: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#logDropped(part, (error as Error).message);
    }
  }

  /** Runs a step once the parser has returned. */
  #schedule(step: string, run: () => void): void {
    queueMicrotask(() => {
      if (!this.#isSettled) this.#run(step, run);
    });
  }

  /** Keeps or drops a part of a withheld body; ends the call if the body is too long. */
  #dropChunk(chunk: Buffer, withheldError: CallError): void {
    this.#droppedBytes += chunk.length;
    if (this.#droppedBytes <= MAX_DROPPED_BYTES) {
      if (this.#keptHead) this.#buffered.append(chunk);
      return;
    }
    this.#finish(err(withheldError));
    this.#abort?.(withheldError);
  }

  /** Sends the head if no body has arrived yet, so that the caller receives it without delay. */
  #flushHead(): void {
    if (!this.#hasBody && !this.#response.destroyed) {
      this.#response.flushHeaders();
    }
  }

  /** Returns whether the upstream or this node marks the end of the response only by closing. */
  #endsWithConnection(head: ResponseHead, received: string[]): boolean {
    const { statusCode, headers, internal } = head;
    const isReceivedSo = this.#options.isNode
      ? internal?.has(UNFRAMED_HEADER) === true
      : isUnframed(statusCode, this.#method, received);
    // Callers with HTTP/1.0 get no chunks.
    const hasChunks = this.#response.useChunkedEncodingByDefault;
    return isReceivedSo || (!hasChunks && isUnframed(statusCode, this.#method, headers));
  }

  #scheduleWrite(): void {
    if (this.#isWriteScheduled) return;
    this.#isWriteScheduled = true;
    this.#schedule('body', () => {
      this.#isWriteScheduled = false;
      if (!this.#isWriting || this.#unwritten.sizeBytes >= MIN_WRITE_BYTES) this.#writeJoined();
    });
  }

  /**
   * Writes the short parts that were parsed as one. Further ones are joined until the system has taken
   * it, since a caller may read slowly or not at all.
   */
  #writeJoined(): void {
    if (this.#unwritten.sizeBytes === 0 || this.#response.destroyed) return;
    this.#isWriting = true;
    this.#write(this.#unwritten.take(), () => {
      this.#isWriting = false;
      if (!this.#isSettled) this.#run('body', () => this.#writeJoined());
    });
  }

  /**
   * Returns whether the caller reads and the node has room; otherwise the upstream is resumed once that
   * is so.
   */
  #write(chunk: Buffer, onTaken?: () => void): boolean {
    const isTaken = this.#response.write(chunk, onTaken);
    this.#flow ??= openAnswerFlow(this.#response, this.#lengthBytes);
    const hasRoom = this.#flow?.record(chunk.length) ?? true;
    if (this.#blockedAtMs !== undefined) return false;
    if (isTaken && hasRoom) return true;
    const blockedAtMs = performance.now();
    this.#blockedAtMs = blockedAtMs;
    const resume = (): void => {
      this.#blockedAtMs = undefined;
      this.#pausedMs += performance.now() - blockedAtMs;
      // The connection may serve another call by then.
      if (!this.#isSettled) this.#run('resume', () => this.#writeBuffered() && this.#resume?.());
    };
    if (hasRoom) this.#response.once('drain', resume);
    else this.#flow?.onceRoom(resume);
    return false;
  }

  /** Sends what is held of a response that is too long to be held; the rest is streamed. */
  #sendHeld(head: ResponseHead): void {
    this.#bufferedHead = undefined;
    this.#options.onUnframed?.(head);
    this.#writeHead(head);
    this.#writeBuffered();
  }

  /** Returns whether all that was buffered of a streamed response is written, and more may be. */
  #writeBuffered(): boolean {
    let mayWrite = true;
    while (mayWrite && this.#buffered.sizeBytes > 0) {
      mayWrite = this.#write(this.#buffered.take(MAX_WRITE_BYTES));
    }
    if (this.#buffered.sizeBytes === 0) this.#heldSpace?.releaseAfter(this.#response);
    return mayWrite;
  }

  #finish(result: Result<CallSummary, CallError>): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    if (result.isErr()) {
      this.#heldSpace?.release();
      this.#undoHeld?.();
    }
    this.#settle(result);
  }

  #toCallError(cause: Error): CallError {
    const options = { isWritten: this.#isWritten, cause };
    if (this.#cancelReason !== undefined) {
      return new CallError(CallErrorCode.Cancelled, this.#cancelReason, options);
    }
    if (!this.#isWritten) return new CallError(CallErrorCode.NotWritten, cause.message, options);
    if (this.#isHeadWritten) return new CallError(CallErrorCode.Truncated, cause.message, options);
    return new CallError(CallErrorCode.NoResponse, cause.message, options);
  }

  /** Returns the error that the upstream node itself reported instead of a response of the server. */
  #findNodeError(head: ResponseHead): CallError | undefined {
    const outcome = head.internal?.get('foxtailvane-outcome');
    if (outcome === undefined) return undefined;
    const reason = head.internal?.get('foxtailvane-reason') ?? outcome;
    const exactMs = Number(head.internal?.get('foxtailvane-retry-after-ms') ?? Number.NaN);
    const retryAfterMs = Number.isFinite(exactMs) ? exactMs : parseRetryAfterMs(head.headers);
    const isServerRefusal = reason === SERVER_REFUSED;
    const options = { isWritten: true, retryAfterMs, isServerRefusal };
    if (outcome === 'not-run') return new CallError(CallErrorCode.Refused, reason, options);
    const isTimeout = head.statusCode === GATEWAY_TIMEOUT;
    const code = isTimeout ? CallErrorCode.TimedOut : CallErrorCode.NoResponse;
    return new CallError(code, reason, options);
  }

  #findShedError(head: ResponseHead): CallError | undefined {
    if (!this.#options.shouldWithhold?.(head)) return undefined;
    const message = `the server answered ${head.statusCode}`;
    return new CallError(CallErrorCode.Shed, message, { isWritten: true });
  }

  /** Returns the error of a withheld response with the response, if that is kept. */
  #attachKept(error: CallError, upstreamMs: number): CallError {
    if (!this.#keptHead) return error;
    const { statusCode, headers } = this.#keptHead;
    const body = Buffer.from(this.#buffered.take());
    const response = { statusCode, headers, body, upstreamMs };
    return new CallError(error.code, error.message, { ...error.options, response });
  }

  #forwardInformational(statusCode: number, raw: Buffer[]): void {
    if (statusCode === PROCESSING) this.#acknowledge();
    if (statusCode !== EARLY_HINTS || !this.#canForwardHint()) return;
    const headers = decodeHeaders(raw);
    if (this.#options.validateHints?.(headers) === false) return;
    const links = listHeaderValues(headers, 'link');
    if (links.length === 0) return;
    this.#earlyHints += 1;
    const droppedFields = writeEarlyHints(this.#response, links);
    if (droppedFields > 0) this.#logDropped('early hints', `${droppedFields} invalid Link fields`);
  }

  /** Logs that an optional part of a response is not passed on. */
  #logDropped(part: string, reason: string): void {
    droppedLog.info(
      performance.now(),
      () => ({ part, reason, statusCode: this.#statusCode }),
      'optional part of a response dropped',
    );
  }

  #acknowledge(): void {
    if (this.#isAcknowledged) return;
    this.#isAcknowledged = true;
    this.#options.onAcknowledged?.();
  }

  /**
   * Hints are optional, so none is kept for a caller that has not read what was sent before. Node.js
   * would write the hints of a response that waits for the one before it into its body. A caller with
   * HTTP/1.0 would take them for its response (RFC 9110, section 15.2).
   */
  #canForwardHint(): boolean {
    const { req, socket, writableLength, headersSent } = this.#response;
    if (req.httpVersion === '1.0' || this.#earlyHints >= MAX_EARLY_HINTS) return false;
    return socket !== null && writableLength === 0 && !headersSent;
  }

  #writeHead({ statusCode, headers }: ResponseHead): void {
    // Node.js would keep the reason and the framing of a head that it refuses for the next one.
    const fault = findFieldFault(headers);
    if (fault) throw fault;
    this.#options.onWriting?.();
    this.#response.writeHead(statusCode, headers);
    this.#isHeadWritten = true;
  }

  #end(trailers: Buffer[] | null): void {
    this.#writeJoined();
    if (this.#bufferedHead && this.#heldSpace) this.#options.onUnframed?.(this.#bufferedHead);
    if (this.#bufferedHead) this.#writeHead(this.#bufferedHead);
    if (trailers && trailers.length > 0) {
      this.#runOptional('trailers', () => this.#addTrailers(trailers));
    }
    this.#response.end(this.#buffered.sizeBytes > 0 ? this.#buffered.take() : undefined);
    this.#heldSpace?.releaseAfter(this.#response);
  }

  #addTrailers(raw: Buffer[]): void {
    const copied = copyHeaders(decodeHeaders(raw), { isRequest: false }).headers;
    const pairs = copied.flatMap((name, index): [string, string][] =>
      index % 2 === 0 ? [[name, copied[index + 1] ?? '']] : [],
    );
    const valid = pairs.filter((pair) => {
      const fault = findFieldFault(pair);
      if (fault) this.#logDropped('trailers', fault.message);
      return fault === undefined;
    });
    this.#response.addTrailers(valid);
  }
}
