/** Seeded TCP proxy that injects network faults between two processes. */
import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';
import { chooseSeed, createSeededRandom, drawInteger } from '../createSeededRandom/index.js';
import { Pipe } from './_lib/Pipe.js';
import { Direction, HEALTHY_LINK, LinkFault } from './_lib/types.js';

import type { Random } from '../createSeededRandom/index.js';
import type { LinkSettings } from './_lib/types.js';

export { LinkFault } from './_lib/types.js';
export type { LinkSettings } from './_lib/types.js';

const MAX_DRAWN_TRUNCATION_BYTES = 4_096;

/** Bytes forwarded since the start. */
export interface LinkBytes {
  toTarget: number;
  toClient: number;
}

export type IdentifyClient = (clientPort: number, proxyPort: number) => Promise<string | undefined>;

export interface FaultProxyOptions {
  /** Seed of the random numbers; drawn when unset. */
  seed?: number;
  /** 0 lets the system choose. */
  port?: number;
  /** Receives the line with the target and the seed. */
  print?: (line: string) => void;
  /** Returns the name of the process that opened a connection, for faults of one client. */
  identifyClient?: IdentifyClient;
}

interface Link {
  clientName: string | undefined;
  client: Socket;
  target: Socket;
  pipes: Pipe[];
  allowanceBytes: number;
}

/**
 * Forwards connections to one target and injects faults that can be changed at run time.
 *
 * @example
 * const proxy = new FaultProxy('127.0.0.1:7400', { seed: 7 });
 * const address = await proxy.start();
 * proxy.setLink({ fault: LinkFault.HalfOpen });
 */
export class FaultProxy {
  readonly seed: number;

  readonly bytes: LinkBytes = { toTarget: 0, toClient: 0 };

  readonly #clientBytes = new Map<string, LinkBytes>();

  readonly #random: Random;

  readonly #server: Server;

  readonly #port: number;

  readonly #links = new Set<Link>();

  #target: string;

  #settings: LinkSettings = HEALTHY_LINK;

  readonly #clientSettings = new Map<string, LinkSettings>();

  readonly #identifyClient: IdentifyClient;

  /**
   * @param target - `host:port` that connections are forwarded to
   * @param options - seed, port and identification of clients
   */
  constructor(target: string, options: FaultProxyOptions = {}) {
    this.#target = target;
    this.seed = options.seed ?? chooseSeed();
    this.#port = options.port ?? 0;
    this.#random = createSeededRandom(this.seed);
    this.#identifyClient = options.identifyClient ?? (async () => undefined);
    this.#server = createServer({ allowHalfOpen: true }, (client) => {
      client.on('error', () => undefined);
      this.#accept(client).catch(() => client.destroy());
    });
    options.print?.(`fault proxy to ${target} seed=${this.seed}`);
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Changes the target of new connections, for example after a restart on another port. */
  retarget(target: string): void {
    this.#target = target;
  }

  /** Listens and returns the address of the proxy. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', resolve);
    });
    return this.address;
  }

  /**
   * Sets the fault of new and open connections.
   *
   * @param settings - omitted settings take the values of a healthy link
   * @param options - `client` limits the fault to one client; without it, it applies to all
   */
  setLink(settings: Partial<LinkSettings> = {}, options: { client?: string } = {}): void {
    const { client } = options;
    const link = { ...HEALTHY_LINK, ...settings };
    if (client === undefined) {
      this.#settings = link;
      this.#clientSettings.clear();
    } else {
      this.#clientSettings.set(client, link);
    }
    [...this.#links]
      .filter((one) => client === undefined || one.clientName === client)
      .forEach((one) => this.#applySettings(one));
  }

  /** Returns the bytes forwarded so far for one client. */
  readClientBytes(client: string): LinkBytes {
    return this.#clientBytes.get(client) ?? { toTarget: 0, toClient: 0 };
  }

  /** Closes all connections and stops listening. */
  async stop(): Promise<void> {
    this.setLink({ fault: LinkFault.Cut });
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #findSettings(clientName: string | undefined): LinkSettings {
    return this.#clientSettings.get(clientName ?? '') ?? this.#settings;
  }

  #applySettings(link: Link): void {
    const changed = link;
    changed.allowanceBytes = this.#drawAllowance(link.clientName);
    this.#closeIfCut(link);
    link.pipes.forEach((pipe) => pipe.wake());
  }

  #drawAllowance(clientName: string | undefined): number {
    const { fault, truncateBytes } = this.#findSettings(clientName);
    if (fault !== LinkFault.Truncate) return Infinity;
    return truncateBytes ?? drawInteger(this.#random, 0, MAX_DRAWN_TRUNCATION_BYTES);
  }

  #closeIfCut(link: Link): boolean {
    const sockets = [link.client, link.target];
    const { fault } = this.#findSettings(link.clientName);
    if (fault === LinkFault.Reset) {
      sockets.forEach((socket) => socket.resetAndDestroy());
    } else if (fault === LinkFault.Cut) {
      sockets.forEach((socket) => socket.destroy());
    } else {
      return false;
    }
    this.#links.delete(link);
    return true;
  }

  async #accept(client: Socket): Promise<void> {
    const clientName = await this.#identifyClient(client.remotePort ?? 0, client.localPort ?? 0);
    const [host, port] = this.#target.split(':');
    const target = connect({ host: host!, port: Number(port), allowHalfOpen: true });
    const allowanceBytes = this.#drawAllowance(clientName);
    const link: Link = { clientName, client, target, pipes: [], allowanceBytes };
    [client, target].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
    });
    if (this.#closeIfCut(link)) return;
    this.#links.add(link);
    link.pipes = [
      this.#createPipe(link, Direction.ToTarget),
      this.#createPipe(link, Direction.ToClient),
    ];
    Promise.all(link.pipes.map((pipe) => pipe.run()))
      .catch(() => undefined)
      .finally(() => {
        // Both directions ended, or one failed; a failed one must not leave the other open.
        this.#closeWhenFlushed(client);
        this.#closeWhenFlushed(target);
        this.#links.delete(link);
      });
  }

  #closeWhenFlushed(socket: Socket): void {
    if (socket.writableLength === 0) socket.destroy();
    else socket.destroySoon();
  }

  #createPipe(link: Link, direction: Direction): Pipe {
    const isToTarget = direction === Direction.ToTarget;
    const from = isToTarget ? link.client : link.target;
    const to = isToTarget ? link.target : link.client;
    return new Pipe(from, to, direction, {
      readSettings: () => this.#findSettings(link.clientName),
      random: this.#random,
      takeAllowance: (bytes) => {
        const changed = link;
        const allowed = Math.min(bytes, link.allowanceBytes);
        changed.allowanceBytes -= allowed;
        return allowed;
      },
      countBytes: (bytes) => {
        const key = isToTarget ? 'toTarget' : 'toClient';
        const clientBytes = this.readClientBytes(link.clientName ?? '');
        clientBytes[key] += bytes;
        this.#clientBytes.set(link.clientName ?? '', clientBytes);
        this.bytes[key] += bytes;
      },
    });
  }
}
