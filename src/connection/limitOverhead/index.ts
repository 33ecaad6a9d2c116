/** Closes connections to upstreams that send bytes without end in place of a response. */
import { subscribe } from 'node:diagnostics_channel';

import type { Socket } from 'node:net';
import type { DiagnosticsChannel, buildConnector } from 'undici';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import { TurnTaker } from '../shareTurns/index.js';
import ContinueFilter from './_lib/ContinueFilter/index.js';
import hasFramingTrailer from './_lib/hasFramingTrailer/index.js';
import OverheadBudget, { ConnectionState, MAX_LINES } from './_lib/OverheadBudget/index.js';

import type { MetricsRegistry } from '../../process/metrics/index.js';

const FIRST_FINAL_STATUS = 200;
const TRANSFER_ENCODING = 'transfer-encoding';
const LINE_FEED = 10;
/** Limit on log lines about closed connections; the counter in the metrics has no limit. */
const LINES_PER_SECOND = 5;

const closureLog = createRateLimitedLogger('upstream', LINES_PER_SECOND);

/** Reason why a connection was closed. Its code differs from those of a server that ended. */
export class OverheadError extends Error {
  readonly code = 'OVERHEAD';

  override readonly name = 'OverheadError';
}

/** What came of the part that was parsed last. */
interface OpenPiece {
  parts: number;
  sizeBytes: number;
  /** When the part was read, and its last part of a body parsed, on the clock of `performance.now()`. */
  readAtMs: number;
  lastAtMs: number;
}

interface Meter {
  socket: Socket;
  budget: OverheadBudget;
  taker: TurnTaker;
  piece: OpenPiece;
  continueFilter: ContinueFilter;
  /** `host:port` of the upstream. */
  address: string;
  metrics: MetricsRegistry | undefined;
}

/** Returns the bytes that were received, without those that wait to be parsed. */
const countParsedBytes = ({ socket }: Meter): number => socket.bytesRead - socket.readableLength;

const metersBySocket = new WeakMap<object, Meter>();

const metersByRequest = new WeakMap<object, Meter>();

const isChunked = (rawHeaders: Buffer[]): boolean =>
  rawHeaders.some(
    (name, index) =>
      index % 2 === 0 &&
      name.length === TRANSFER_ENCODING.length &&
      name.toString('latin1').toLowerCase() === TRANSFER_ENCODING,
  );

// The handlers of undici are not given the connection of their request; the first channel is.
subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
  const meter = metersBySocket.get(socket);
  if (!meter) return;
  metersByRequest.set(request, meter);
  meter.budget.recordRequest(countParsedBytes(meter));
  meter.continueFilter.reset();
});

subscribe('undici:request:headers', (message) => {
  const { request, response } = message as DiagnosticsChannel.RequestHeadersMessage;
  const meter = metersByRequest.get(request);
  if (!meter) return;
  const { statusCode, headers } = response;
  if (statusCode < FIRST_FINAL_STATUS) meter.budget.recordInformational();
  else meter.budget.recordHead(countParsedBytes(meter), { isChunked: isChunked(headers) });
});

subscribe('undici:request:bodyChunkReceived', (message) => {
  const { request, chunk } = message as DiagnosticsChannel.RequestBodyChunkReceivedMessage;
  const meter = metersByRequest.get(request);
  if (!meter) return;
  meter.budget.recordBody(chunk.length, countParsedBytes(meter));
  const { piece } = meter;
  piece.parts += 1;
  piece.sizeBytes += chunk.length;
  piece.lastAtMs = performance.now();
});

subscribe('undici:request:trailers', (message) => {
  const { request, trailers } = message as DiagnosticsChannel.RequestTrailersMessage;
  const meter = metersByRequest.get(request);
  if (!meter) return;
  meter.budget.recordEnd(countParsedBytes(meter));
  if (hasFramingTrailer(trailers)) meter.socket.destroy();
});

/** Closes the connection; its request then fails at once. */
const close = ({ socket, budget, address, metrics }: Meter): void => {
  const { state } = budget;
  const closures = metrics?.counter('upstream_connections_closed', { reason: 'overhead', state });
  if (closures) closures.value += 1;
  closureLog.info(
    performance.now(),
    () => ({ address, state, receivedBytes: socket.bytesRead }),
    'connection closed: the upstream sends bytes that are no response',
  );
  const message = 'the upstream sent too many bytes that are no response';
  // Without an error, undici sends the requests that wait for an idle connection on a new one.
  socket.destroy(state === ConnectionState.Idle ? undefined : new OverheadError(message));
};

/** Counts the lines of a part, up to one more than the limit. */
const countLines = (part: Buffer): number => {
  let lines = 0;
  let index = part.indexOf(LINE_FEED);
  while (index !== -1 && lines <= MAX_LINES) {
    lines += 1;
    index = part.indexOf(LINE_FEED, index + 1);
  }
  return lines;
};

/** Records what came of the last part that was read. */
const settlePiece = ({ socket, piece, taker }: Meter): void => {
  const { parts, sizeBytes, readAtMs, lastAtMs } = piece;
  const hasMore = socket.readableLength > 0;
  taker.record({ parts, sizeBytes, hasMore, spentMs: Math.max(0, lastAtMs - readAtMs) });
  Object.assign(piece, { parts: 0, sizeBytes: 0 });
};

/**
 * Reads the next part for the parser. One read from the system returns up to 64 KiB, whose fields would
 * take megabytes, so the limits are checked before each smaller part.
 *
 * @returns null if there is none, the connection was closed, or others have their turn first
 */
const readPart = (meter: Meter, read: (sizeBytes?: number) => Buffer | null): Buffer | null => {
  const { socket, budget, taker, piece } = meter;
  if (socket.destroyed) return null;
  if (budget.isExceeded(countParsedBytes(meter))) {
    close(meter);
    return null;
  }
  settlePiece(meter);
  if (socket.readableLength > 0 && !taker.take()) return null;
  const maxPartBytes = Math.min(budget.maxPartBytes, taker.maxPieceBytes);
  piece.readAtMs = performance.now();
  const part = socket.readableLength > maxPartBytes ? read(maxPartBytes) : read();
  if (part) budget.recordLines(countLines(part));
  return part;
};

/** Reads received bytes without the `100` responses to a request. */
const readFiltered = (
  { budget, continueFilter }: Meter,
  read: (sizeBytes?: number) => Buffer | null,
  sizeBytes?: number,
): Buffer | null => {
  const part = read(sizeBytes);
  // Without a request, any bytes must reach the parser, which then closes the connection.
  const isAwaited = part !== null && budget.state === ConnectionState.AwaitingHead;
  return isAwaited ? continueFilter.filter(part) : part;
};

const limitSocket = (
  socket: Socket,
  address: string,
  metrics: MetricsRegistry | undefined,
): void => {
  // The parser of undici reads on at this event.
  const taker = new TurnTaker(() => socket.emit('readable'));
  socket.once('close', () => taker.close());
  const meter: Meter = {
    ...{ socket, address, metrics, taker },
    budget: new OverheadBudget(),
    piece: { parts: 0, sizeBytes: 0, readAtMs: 0, lastAtMs: 0 },
    continueFilter: new ContinueFilter(),
  };
  metersBySocket.set(socket, meter);
  const read = socket.read.bind(socket) as (sizeBytes?: number) => Buffer | null;
  const readForParser = (sizeBytes?: number) => readFiltered(meter, read, sizeBytes);
  // The parser of undici reads without a size; the runtime itself reads 0 bytes to await more.
  Object.assign(socket, {
    read: (sizeBytes?: number) =>
      sizeBytes === undefined ? readPart(meter, readForParser) : read(sizeBytes),
  });
};

/**
 * Creates a connector whose connections are closed when they receive too many bytes that are neither a
 * final response head nor body data. undici itself limits only the size of each single head.
 *
 * @param connect - opens the connections
 * @param metrics - counts the closed connections
 *
 * @example
 * const pool = new Pool(url, { connect: limitOverhead(buildConnector({ timeout: 1_000 })) });
 */
export const limitOverhead =
  (connect: buildConnector.connector, metrics?: MetricsRegistry): buildConnector.connector =>
  (target, callback) => {
    connect(target, (...outcome) => {
      const [, socket] = outcome;
      if (socket) limitSocket(socket, `${target.hostname}:${target.port}`, metrics);
      callback(...outcome);
    });
  };
