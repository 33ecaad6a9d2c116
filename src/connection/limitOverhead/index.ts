/** Closes connections to upstreams that send bytes without end in place of a response. */
import { subscribe } from 'node:diagnostics_channel';

import type { Socket } from 'node:net';
import type { DiagnosticsChannel, buildConnector } from 'undici';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import OverheadBudget, { ConnectionState } from './_lib/OverheadBudget/index.js';

import type { MetricsRegistry } from '../../process/metrics/index.js';

const FIRST_FINAL_STATUS = 200;
/** Limit on log lines about closed connections; the counter in the metrics has no limit. */
const LINES_PER_SECOND = 5;

const closureLog = createRateLimitedLogger('upstream', LINES_PER_SECOND);

/** Reason why a connection was closed. Its code differs from those of a server that ended. */
export class OverheadError extends Error {
  readonly code = 'OVERHEAD';

  override readonly name = 'OverheadError';
}

interface Meter {
  socket: Socket;
  budget: OverheadBudget;
}

const metersBySocket = new WeakMap<object, Meter>();

const metersByRequest = new WeakMap<object, Meter>();

// The handlers of undici are not given the connection of their request; the first channel is.
subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
  const meter = metersBySocket.get(socket);
  if (!meter) return;
  metersByRequest.set(request, meter);
  meter.budget.recordRequest(meter.socket.bytesRead);
});

subscribe('undici:request:headers', (message) => {
  const { request, response } = message as DiagnosticsChannel.RequestHeadersMessage;
  if (response.statusCode < FIRST_FINAL_STATUS) return;
  const meter = metersByRequest.get(request);
  meter?.budget.recordHead(meter.socket.bytesRead);
});

subscribe('undici:request:bodyChunkReceived', (message) => {
  const { request, chunk } = message as DiagnosticsChannel.RequestBodyChunkReceivedMessage;
  const meter = metersByRequest.get(request);
  meter?.budget.recordBody(chunk.length, meter.socket.bytesRead);
});

subscribe('undici:request:trailers', (message) => {
  const { request } = message as DiagnosticsChannel.RequestTrailersMessage;
  const meter = metersByRequest.get(request);
  meter?.budget.recordEnd(meter.socket.bytesRead);
});

/** Closes the connection if it has received too much; its request then fails at once. */
const checkOverhead = (
  { socket, budget }: Meter,
  address: string,
  metrics: MetricsRegistry | undefined,
): void => {
  const receivedBytes = socket.bytesRead;
  const excessBytes = budget.computeExcessBytes(receivedBytes);
  if (excessBytes <= 0 || socket.destroyed) return;
  const { state } = budget;
  const closures = metrics?.counter('upstream_connections_closed', { reason: 'overhead', state });
  if (closures) closures.value += 1;
  closureLog.info(
    performance.now(),
    () => ({ address, state, receivedBytes, excessBytes }),
    'connection closed: the upstream sends bytes that are no response',
  );
  const message = 'the upstream sent too many bytes that are no response';
  // Without an error, undici sends the requests that wait for an idle connection on a new one.
  socket.destroy(state === ConnectionState.Idle ? undefined : new OverheadError(message));
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
      if (socket) {
        const meter: Meter = { socket, budget: new OverheadBudget() };
        metersBySocket.set(socket, meter);
        const address = `${target.hostname}:${target.port}`;
        // The listener must run before the one of undici, which parses the bytes.
        socket.prependListener('readable', () => checkOverhead(meter, address, metrics));
      }
      callback(...outcome);
    });
  };
