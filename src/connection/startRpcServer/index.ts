/** The connect-es listener of a process. */
import { createSecureServer, createServer } from 'node:http2';

import { createContextValues } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import type {
  Http2SecureServer,
  Http2Server,
  Http2ServerRequest,
  Http2ServerResponse,
  ServerHttp2Session,
} from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { TLSSocket } from 'node:tls';
import type { ConnectRouter, ContextValues } from '@connectrpc/connect';
import type { ConnectNodeAdapterOptions } from '@connectrpc/connect-node';
import logAcceptErrors from '../logAcceptErrors/index.js';
import { callerKey, checkAccess, isTlsKey } from '../checkAccess/index.js';
import { readIdentity } from '../../process/tls/readIdentity/index.js';
import { createLogger } from '../../process/log/index.js';
import type { ProcessIdentity } from '../../process/tls/readIdentity/index.js';
import type { TlsMaterial, TlsStore } from '../../process/tls/TlsStore/index.js';
import { formatAddress, splitAddress } from '../splitAddress/index.js';
import ReceivedMessages from './_lib/ReceivedMessages.js';

/** Largest message accepted from another process. */
const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;

/** Limit of the messages that are received at the same time; peers send few, and seldom large ones. */
const MAX_RECEIVED_BYTES = 32 * 1_024 * 1_024;

/** Maximum number of concurrent streams of one peer, which needs one stream and a few calls. */
const MAX_STREAMS_PER_SESSION = 64;

/** Ping interval, and the time without a response after which a session counts as half-open. */
const PING_INTERVAL_MS = 2_000;
const PING_TIMEOUT_MS = 3_000;

/** A listener for calls of other processes. */
export interface RpcServer {
  /** Bound host:port. */
  address: string;
  /** Ends all sessions; resolves when the port is free. */
  close: () => Promise<void>;
}

export interface RpcServerOptions {
  /** Adds the services of the process. */
  routes: (router: ConnectRouter) => void;
  /** If set, callers must present a certificate of the CA; a reload applies to new connections. */
  tls?: TlsStore | undefined;
}

type NodeServerRequest = Parameters<NonNullable<ConnectNodeAdapterOptions['contextValues']>>[0];

type AnyServer = Http2Server | Http2SecureServer;

const SETTINGS = { maxConcurrentStreams: MAX_STREAMS_PER_SESSION };

const log = createLogger('rpc-server');

// Writes to a peer that disappeared without closing its connection block until TCP times out, which
// takes minutes; pings detect this within seconds.
const watchSession = (session: ServerHttp2Session): void => {
  let lastResponseAtMs = Date.now();
  const timer = setInterval(() => {
    if (Date.now() - lastResponseAtMs > PING_INTERVAL_MS + PING_TIMEOUT_MS) session.destroy();
    else if (!session.destroyed) {
      session.ping((error) => {
        if (error === null) lastResponseAtMs = Date.now();
      });
    }
  }, PING_INTERVAL_MS);
  session.once('close', () => clearInterval(timer));
  session.on('error', () => session.destroy());
};

const createTlsOptions = (material: TlsMaterial) => ({
  ...material,
  minVersion: 'TLSv1.3' as const,
  requestCert: true,
  rejectUnauthorized: true,
});

const readCaller = (request: NodeServerRequest): ProcessIdentity | undefined => {
  // The socket of an HTTP/2 request does not expose the certificate; the socket of its session does.
  const socket = 'stream' in request ? request.stream.session?.socket : request.socket;
  const certificate = (socket as TLSSocket | undefined)?.getPeerCertificate?.();
  return certificate?.subject === undefined ? undefined : readIdentity(certificate.subject);
};

// Whether callers are authenticated depends only on the settings, so that a caller with an unreadable
// certificate is rejected.
const createContext = (request: NodeServerRequest, isTls: boolean): ContextValues => {
  const values = createContextValues().set(isTlsKey, isTls);
  return isTls ? values.set(callerKey, readCaller(request)) : values;
};

const createListener = (
  tls: TlsStore | undefined,
  handler: (request: Http2ServerRequest, response: Http2ServerResponse) => void,
): AnyServer => {
  if (tls === undefined) return createServer({ settings: SETTINGS }, handler);
  const options = { settings: SETTINGS, ...createTlsOptions(tls.current()) };
  const server = createSecureServer(options, handler);
  const unsubscribe = tls.onReloaded((material) =>
    server.setSecureContext(createTlsOptions(material)),
  );
  server.once('close', unsubscribe);
  server.on('tlsClientError', (error) =>
    log.warn({ cause: error.message }, 'TLS handshake failed'),
  );
  return server;
};

const listen = (server: AnyServer, address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      logAcceptErrors(server);
      resolve(formatAddress({ host, port: (server.address() as AddressInfo).port }));
    });
  });

/**
 * Starts an HTTP/2 listener for the services of this process.
 *
 * @param address - `host:port`; port 0 lets the system choose
 * @param options - the services and, for mutual TLS, the material
 * @returns the bound listener
 * @throws the system error when the address cannot be bound
 *
 * @example
 * const server = await startRpcServer('127.0.0.1:0', { routes: (router) => hub.registerRoutes(router) });
 */
export const startRpcServer = async (
  address: string,
  options: RpcServerOptions,
): Promise<RpcServer> => {
  const handler = connectNodeAdapter({
    routes: options.routes,
    grpc: false,
    grpcWeb: false,
    acceptCompression: [],
    readMaxBytes: MAX_MESSAGE_BYTES,
    contextValues: (request) => createContext(request, options.tls !== undefined),
    interceptors: [checkAccess],
  });
  const sessions = new Set<ServerHttp2Session>();
  const received = new ReceivedMessages(MAX_RECEIVED_BYTES);
  const server = createListener(options.tls, (request, response) => {
    received.add(request, response);
    handler(request, response);
  });
  server.on('session', (session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
    watchSession(session);
  });
  const bound = await listen(server, address);
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      sessions.forEach((session) => session.destroy());
    });
  return { address: bound, close };
};
