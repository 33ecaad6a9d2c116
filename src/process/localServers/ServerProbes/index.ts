/** Probes of `GET /health` and `GET /load`, whose results may be stale or wrong. */
import { Pool, buildConnector } from 'undici';
import * as v from 'valibot';

import guardPausedResponses from '../../../connection/guardPausedResponses/index.js';
import { limitOverhead } from '../../../connection/limitOverhead/index.js';

import type { MetricsRegistry } from '../../metrics/index.js';
import type { LocalServer, LocalServers } from '../LocalServers/index.js';

export interface ServerProbesOptions {
  localServers: LocalServers;
  /** Interval between two rounds of probes. */
  intervalMs?: number;
  /** Reads the clock, in milliseconds since the epoch. */
  getNowMs?: () => number;
  /** Counts the connections that were closed because of what the server sent. */
  metrics?: MetricsRegistry | undefined;
}

const DEFAULT_INTERVAL_MS = 2_000;
/** A probe usually takes about 6 ms; a server that needs this long counts as unhealthy. */
const PROBE_TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 4_096;
const FIRST_SERVER_ERROR = 500;
const NOT_IMPLEMENTED = 501;

const loadSchema = v.object({
  inFlight: v.pipe(v.number(), v.minValue(0)),
  slots: v.pipe(v.number(), v.minValue(1)),
});

const parseLoad = (text: string): number | undefined => {
  try {
    const parsed = v.safeParse(loadSchema, JSON.parse(text));
    return parsed.success ? parsed.output.inFlight / parsed.output.slots : undefined;
  } catch {
    return undefined;
  }
};

/** Probes all announced servers at a fixed interval. */
export class ServerProbes {
  readonly #options: Required<Omit<ServerProbesOptions, 'metrics'>>;

  readonly #metrics: MetricsRegistry | undefined;

  /** Separate from the pools for requests, whose connections may all be in use. */
  readonly #pools = new Map<string, Pool>();

  #timer: NodeJS.Timeout | undefined;

  constructor(options: ServerProbesOptions) {
    this.#options = {
      localServers: options.localServers,
      intervalMs: options.intervalMs ?? DEFAULT_INTERVAL_MS,
      getNowMs: options.getNowMs ?? Date.now,
    };
    this.#metrics = options.metrics;
  }

  start(): void {
    this.#timer = setInterval(() => {
      this.probe().catch(() => undefined);
    }, this.#options.intervalMs);
    this.#timer.unref();
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** Probes each server once and records the results. */
  async probe(): Promise<void> {
    const servers = this.#options.localServers.list();
    this.#closeUnused(new Set(servers.map(({ server }) => server.address)));
    await Promise.all(servers.map((local) => this.#probeServer(local)));
  }

  async #probeServer({ server }: LocalServer): Promise<void> {
    const [health, load] = await Promise.all([
      this.#get(server.address, '/health'),
      this.#get(server.address, '/load'),
    ]);
    // A server without a health endpoint counts as healthy.
    const isHealthy =
      health !== undefined &&
      (health.statusCode < FIRST_SERVER_ERROR || health.statusCode === NOT_IMPLEMENTED);
    this.#options.localServers.recordHint(server.serverId, {
      isHealthy,
      load: load === undefined ? undefined : parseLoad(load.text),
      atMs: this.#options.getNowMs(),
    });
  }

  #closeUnused(used: Set<string>): void {
    [...this.#pools]
      .filter(([address]) => !used.has(address))
      .forEach(([address, pool]) => {
        this.#pools.delete(address);
        pool.destroy().catch(() => undefined);
      });
  }

  #getPool(address: string): Pool {
    const known = this.#pools.get(address);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      connections: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: limitOverhead(
        guardPausedResponses(buildConnector({ timeout: PROBE_TIMEOUT_MS })),
        this.#metrics,
      ),
    });
    this.#pools.set(address, pool);
    return pool;
  }

  async #get(
    address: string,
    path: string,
  ): Promise<{ statusCode: number; text: string } | undefined> {
    try {
      const { statusCode, body } = await this.#getPool(address).request({
        method: 'GET',
        path,
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
      });
      return { statusCode, text: await body.text() };
    } catch {
      return undefined;
    }
  }
}
