import { Client, Pool } from 'undici';

import type { Dispatcher } from 'undici';

import { watchResets } from '../watchResets/index.js';
import { createLogger } from '../../process/log/index.js';

import type { TlsMaterial } from '../openTransport/index.js';

const log = createLogger('upstream');

const CONNECT_TIMEOUT_MS = 1_000;
/** Below the 5 s after which Node.js servers close an idle connection, to avoid that race. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** Upper bound when the upstream asks for a longer keep-alive. */
const KEEP_ALIVE_MAX_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 32_768;

export interface UpstreamPoolsOptions {
  /** Set for pools to other nodes when `[tls]` is configured. */
  tls?: (() => TlsMaterial) | undefined;
  connectTimeoutMs?: number;
}

/** HTTP/1.1 connections to upstream addresses, one pool each. */
export class UpstreamPools {
  readonly #pools = new Map<string, Pool>();

  readonly #options: UpstreamPoolsOptions;

  constructor(options: UpstreamPoolsOptions = {}) {
    this.#options = options;
  }

  /**
   * Returns the pool of an address, created on first use.
   *
   * @param address - `host:port`
   * @param connections - most connections; a later value does not change an existing pool
   */
  get(address: string, connections: number): Pool {
    const known = this.#pools.get(address);
    if (known) return known;
    const pool = this.#open(address, connections);
    this.#pools.set(address, pool);
    return pool;
  }

  /**
   * Opens a connection for one request. A connection that was idle may have been closed by the
   * upstream meanwhile, and whether a request on it ran cannot be told.
   */
  openSingle(address: string): Dispatcher {
    return new Client(this.#createUrl(address), { ...this.#createOptions(), pipelining: 1 });
  }

  /** Closes a connection that `openSingle` returned. */
  closeSingle(client: Dispatcher): void {
    client.close().catch((error: unknown) => {
      log.debug({ reason: String(error) }, 'a connection for one request was closed already');
    });
  }

  /** Closes the idle connections to an address; later requests open new ones. */
  retire(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch((error: unknown) => {
      log.debug({ address, reason: String(error) }, 'a connection pool was closed already');
    });
  }

  /** Closes the pools of addresses that are no longer in use, after their requests ended. */
  retain(isUsed: (address: string) => boolean): void {
    [...this.#pools.keys()]
      .filter((address) => !isUsed(address))
      .forEach((address) => {
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        pool?.close().catch(() => undefined);
      });
  }

  /** Opens new connections from now on, for example with reloaded TLS material. */
  renew(): void {
    this.retain(() => false);
  }

  /** Closes all connections; requests in flight fail. */
  async destroy(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #open(address: string, connections: number): Pool {
    return new Pool(this.#createUrl(address), {
      ...this.#createOptions(),
      connections,
      pipelining: 1,
    });
  }

  #createUrl(address: string): string {
    return `${this.#options.tls ? 'https' : 'http'}://${address}`;
  }

  #createOptions(): Client.Options {
    const tls = this.#options.tls?.();
    return {
      // Deadlines are kept by the exchange, which also covers queueing and streaming.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: watchResets({
        timeout: this.#options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
        ...(tls ? { key: tls.key, cert: tls.cert, ca: tls.ca } : {}),
      }),
    };
  }
}
