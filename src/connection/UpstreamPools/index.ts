import { Client, Pool } from 'undici';

import type { Dispatcher } from 'undici';

import guardPausedResponses from '../guardPausedResponses/index.js';
import { limitOverhead } from '../limitOverhead/index.js';
import { watchResets } from '../watchResets/index.js';
import { createLogger } from '../../process/log/index.js';

import type { MetricsRegistry } from '../../process/metrics/index.js';
import type { TlsMaterial } from '../openTransport/index.js';

const log = createLogger('upstream');

const CONNECT_TIMEOUT_MS = 1_000;
/** Below the 5 s after which Node.js servers close an idle connection, to avoid a race with that. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** Upper limit for the keep-alive timeout that an upstream requests. */
const KEEP_ALIVE_MAX_TIMEOUT_MS = 60_000;
const MAX_HEADER_BYTES = 32_768;
/** One read from the system fills it, so that a paused connection keeps no second one; 64 KiB in undici. */
const SOCKET_OPTIONS = { highWaterMark: 16_384 };
/** Message of undici's error for a connection that receives bytes without a request. */
const UNREQUESTED_BYTES_MESSAGE = 'bad response';

export interface UpstreamPoolsOptions {
  /** Set for pools to other nodes when `[tls]` is configured. */
  tls?: (() => TlsMaterial) | undefined;
  connectTimeoutMs?: number;
  /** Counts the connections that were closed because of what the upstream sent. */
  metrics?: MetricsRegistry;
  /** Called when a connection is closed because bytes came on it without a request. */
  onUnrequestedBytes?: (address: string) => void;
}

/** HTTP/1.1 connection pools, one per upstream address. */
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
   * @param connections - maximum number of connections; ignored if the pool already exists
   */
  get(address: string, connections: number): Pool {
    const known = this.#pools.get(address);
    if (known) return known;
    const pool = this.#open(address, connections);
    this.#pools.set(address, pool);
    return pool;
  }

  /**
   * Opens a connection for one request. The upstream may close an idle connection while it is reused,
   * and it is then unknown whether the request ran.
   */
  openSingle(address: string): Dispatcher {
    const client = new Client(this.#createUrl(address), {
      ...this.#createOptions(),
      pipelining: 1,
    });
    return this.#watch(client, address);
  }

  /** Closes a connection opened by `openSingle`. */
  closeSingle(client: Dispatcher): void {
    client.close().catch((error: unknown) => {
      log.debug({ reason: String(error) }, 'connection for one request was already closed');
    });
  }

  /** Closes the pool of an address after its requests ended; later requests open a new one. */
  retire(address: string): void {
    const pool = this.#pools.get(address);
    this.#pools.delete(address);
    pool?.close().catch((error: unknown) => {
      log.debug({ address, reason: String(error) }, 'connection pool was already closed');
    });
  }

  /** Closes the pools of unused addresses after their requests ended. */
  retain(isUsed: (address: string) => boolean): void {
    [...this.#pools.keys()]
      .filter((address) => !isUsed(address))
      .forEach((address) => {
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        pool?.close().catch(() => undefined);
      });
  }

  /** Replaces all pools, so that new connections use, for example, reloaded TLS material. */
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
    const pool = new Pool(this.#createUrl(address), {
      ...this.#createOptions(),
      connections,
      pipelining: 1,
    });
    return this.#watch(pool, address);
  }

  #watch<Connections extends Dispatcher>(connections: Connections, address: string): Connections {
    const { onUnrequestedBytes } = this.#options;
    if (onUnrequestedBytes) {
      connections.on('disconnect', (...[, , { message }]) => {
        if (message === UNREQUESTED_BYTES_MESSAGE) onUnrequestedBytes(address);
      });
    }
    return connections;
  }

  #createUrl(address: string): string {
    return `${this.#options.tls ? 'https' : 'http'}://${address}`;
  }

  #createOptions(): Client.Options {
    const tls = this.#options.tls?.();
    return {
      // The exchange enforces the deadline, which also covers queueing and streaming.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MAX_TIMEOUT_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      connect: limitOverhead(
        guardPausedResponses(
          watchResets({
            timeout: this.#options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS,
            ...SOCKET_OPTIONS,
            ...(tls ? { key: tls.key, cert: tls.cert, ca: tls.ca } : {}),
          }),
        ),
        this.#options.metrics,
      ),
    };
  }
}
