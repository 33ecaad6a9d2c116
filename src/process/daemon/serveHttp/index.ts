import { createServer } from 'node:http';

import { getRequestListener } from '@hono/node-server';
import type { Hono } from 'hono';
import { err, ok } from 'neverthrow';
import type { AddressInfo } from 'node:net';
import type { Result } from 'neverthrow';

import logAcceptErrors from '../../../connection/logAcceptErrors/index.js';
import ResponsePipeline from '../../../connection/ResponsePipeline/index.js';
import { formatAddress, splitAddress } from '../../../connection/splitAddress/index.js';
import { DaemonError, DaemonErrorCode } from '../DaemonError/index.js';

/** Timeout for the headers of a request, which limits how long a slow client holds a connection. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for a whole request. */
const REQUEST_TIMEOUT_MS = 30_000;
const MAX_CONNECTIONS = 256;

/** A bound listener of a hono app. */
export interface HttpListener {
  /** `IP:port` that was bound. */
  address: string;
  close: () => Promise<void>;
}

/**
 * Serves a hono app over HTTP/1.1.
 *
 * @param app - the app
 * @param address - `IP:port`; with port 0 the system assigns a free port
 * @returns the bound listener; ListenFailed when the address can't be bound
 *
 * @example
 * const listener = await serveHttp(app, '127.0.0.1:0');
 */
export const serveHttp = (
  app: Hono,
  address: string,
): Promise<Result<HttpListener, DaemonError>> => {
  const { host, port } = splitAddress(address);
  // Keeps the global fetch classes of the process; see installFetchClasses.
  const handle = getRequestListener(app.fetch, { overrideGlobalObjects: false });
  const server = createServer(
    { headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
    (request, response) => {
      const pipeline = ResponsePipeline.of(request.socket);
      // Node.js drops the rest of a body only if nothing was read of it, and the pipeline reads.
      response.once('close', () => request.resume());
      if (!pipeline.add(response, { isClosing: false })) pipeline.discard(request);
      else pipeline.run(() => handle(request, response));
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  return new Promise((resolve) => {
    const fail = (error: Error): void => {
      const message = `cannot listen on ${address}: ${error.message}`;
      resolve(err(new DaemonError(DaemonErrorCode.ListenFailed, message, error)));
    };
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      logAcceptErrors(server);
      const bound = server.address() as AddressInfo;
      resolve(ok({ address: formatAddress({ host, port: bound.port }), close }));
    });
  });
};
