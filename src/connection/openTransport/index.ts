import { checkServerIdentity } from 'node:tls';

import { createConnectTransport } from '@connectrpc/connect-node';

import type { SecureClientSessionOptions } from 'node:http2';
import type { PeerCertificate } from 'node:tls';
import type { Transport } from '@connectrpc/connect';
import { readIdentity } from '../../process/tls/readIdentity/index.js';
import type { ProcessRole } from '../../process/tls/readIdentity/index.js';

import GuardedSessionManager from './_lib/GuardedSessionManager/index.js';

/** PEM material for mutual TLS between processes. */
export interface TlsMaterial {
  key: string;
  cert: string;
  ca: string;
}

export interface OpenTransportOptions {
  /**
   * Set when `[tls]` is configured; plain HTTP/2 otherwise. A function is called for each connection,
   * so that the next one uses reloaded material.
   */
  tls?: TlsMaterial | (() => TlsMaterial) | undefined;
  /** With TLS, the role required in the certificate of the other process. */
  peerRole?: ProcessRole;
  /** Interval of HTTP/2 pings that detect a half-open connection. */
  pingIntervalMs?: number;
  /** Time without a ping response after which the connection is closed. */
  pingTimeoutMs?: number;
  /** Called whenever a part of a response was read, also within a message. */
  onBytesRead?: () => void;
}

/** A transport to one other process and a function that closes its connection. */
export interface OpenedTransport {
  transport: Transport;
  close: () => void;
}

/** Twice the limit of requests, which a configuration and the records of all nodes are within. */
const MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024;

const DEFAULT_PING_INTERVAL_MS = 2_000;
const DEFAULT_PING_TIMEOUT_MS = 1_000;

// The role is checked in addition to the address, so that a node cannot impersonate a control VM.
const checkIdentity = (
  host: string,
  certificate: PeerCertificate,
  peerRole: ProcessRole | undefined,
): Error | undefined => {
  const error = checkServerIdentity(host, certificate);
  if (error !== undefined || peerRole === undefined) return error;
  const { name, role } = readIdentity(certificate.subject);
  if (role === peerRole) return undefined;
  return new Error(`certificate of ${name} has the role ${role ?? 'none'}, not ${peerRole}`);
};

const createTlsOptions = (
  readTls: () => TlsMaterial,
  peerRole: ProcessRole | undefined,
): SecureClientSessionOptions => ({
  get key() {
    return readTls().key;
  },
  get cert() {
    return readTls().cert;
  },
  get ca() {
    return readTls().ca;
  },
  minVersion: 'TLSv1.3',
  checkServerIdentity: (host, certificate) => checkIdentity(host, certificate, peerRole),
});

/**
 * Opens a connect-es transport over HTTP/2 to one process; connects on first use.
 *
 * @param address - `host:port` of the process
 * @param options - TLS material and ping settings
 * @returns the transport and a function that closes its connection
 *
 * @example
 * const { transport, close } = openTransport('127.0.0.1:7400');
 */
export const openTransport = (
  address: string,
  options: OpenTransportOptions = {},
): OpenedTransport => {
  const { tls, peerRole } = options;
  const readTls = typeof tls === 'function' ? tls : () => tls;
  const material = readTls();
  const baseUrl = `${material ? 'https' : 'http'}://${address}`;
  const sessionManager = new GuardedSessionManager(
    baseUrl,
    {
      pingIntervalMs: options.pingIntervalMs ?? DEFAULT_PING_INTERVAL_MS,
      pingTimeoutMs: options.pingTimeoutMs ?? DEFAULT_PING_TIMEOUT_MS,
    },
    material ? createTlsOptions(() => readTls() ?? material, peerRole) : undefined,
    options.onBytesRead,
  );
  const transport = createConnectTransport({
    httpVersion: '2',
    baseUrl,
    sessionManager,
    acceptCompression: [],
    readMaxBytes: MAX_RESPONSE_BYTES,
  });
  return { transport, close: () => sessionManager.abort() };
};
