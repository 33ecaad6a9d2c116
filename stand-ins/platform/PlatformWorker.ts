/** Platform worker: executes requests, answers health checks and sends heartbeats to its node. */
import { createServer } from 'node:http';

import { request } from 'undici';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export interface PlatformWorkerOptions {
  instanceId: string;
  service: string;
  zone: string;
  /** Address on which it listens, `IP:port`. */
  address: string;
  /** `IP:port` of the `control` listener of its machine. */
  control: string;
  slots?: number;
  /**
   * Number of requests that wait for a slot; further ones are rejected as not executed. Without it any
   * number of requests runs at the same time. Not for raw answers, which hold no slot.
   */
  queueLength?: number;
  /** Execution time of a request. */
  workMs?: number;
  /** Version of its software. */
  version?: string;
  /** Returns the status of the next answer; always 200 by default. */
  findStatus?: () => number;
  /** Returns bytes to write in place of the answer to a request; undefined for a regular answer. */
  findRawAnswer?: (run: WorkerRun) => string | undefined;
  /** Writes the answer to a request itself, in place of a regular one; returns whether it does. */
  writeRawAnswer?: (run: WorkerRun, socket: Socket) => boolean;
}

const HEARTBEAT_INTERVAL_MS = 200;
const DEFAULT_SLOTS = 4;

/** A request that the worker started to execute. */
export interface WorkerRun {
  attemptId: string;
  path: string;
  callerService: string;
  rawHeaders: string[];
  atMs: number;
}

export default class PlatformWorker {
  readonly runs: WorkerRun[] = [];

  readonly #options: PlatformWorkerOptions;

  readonly #bornAtMs = Date.now();

  readonly #server: Server;

  #sequence = 0;

  #occupiedSlots = 0;

  /** Requests that wait for a slot, by their responses, with what runs each. */
  readonly #queue = new Map<ServerResponse, () => void>();

  #state = 'ready';

  #timer: NodeJS.Timeout | undefined;

  constructor(options: PlatformWorkerOptions) {
    this.#options = options;
    this.#server = createServer((incoming, response) => this.#handleRequest(incoming, response));
  }

  async start(): Promise<void> {
    const [host, port] = this.#options.address.split(':');
    await new Promise<void>((resolve) => {
      this.#server.listen(Number(port), host, resolve);
    });
    this.#timer = setInterval(() => {
      // The node may be down; the next heartbeat retries.
      this.sendHeartbeat().catch(() => undefined);
    }, HEARTBEAT_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await new Promise((resolve) => {
      this.#server.close(resolve);
      this.#server.closeAllConnections();
    });
  }

  /**
   * Sends a heartbeat with the state `draining`, and keeps that state.
   *
   * @returns the HTTP status of the acknowledgement
   */
  async drain(): Promise<number> {
    this.#state = 'draining';
    return this.sendHeartbeat();
  }

  /**
   * Sends a heartbeat.
   *
   * @param changes - fields that replace or extend the default body
   * @returns the HTTP status of the acknowledgement
   */
  async sendHeartbeat(changes: object = {}): Promise<number> {
    const {
      instanceId,
      service,
      address,
      zone,
      control,
      slots = DEFAULT_SLOTS,
      version = 'v1',
    } = this.#options;
    this.#sequence += 1;
    const { statusCode, body } = await request(
      `http://${control}/-/rpc?call=instances.heartbeat&of=${instanceId}`,
      {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          ...{ service, address, zone, version, slots, state: this.#state },
          ...{ cold_remaining: '0ms', sequence: this.#sequence, born: this.#bornAtMs },
          ...changes,
        }),
      },
    );
    await body.dump();
    return statusCode;
  }

  #handleRequest(incoming: IncomingMessage, response: ServerResponse): void {
    const { instanceId } = this.#options;
    const { headers, url = '' } = incoming;
    if (url === '/health') {
      response.writeHead(this.#state === 'ready' ? 200 : 503, { 'instance-id': instanceId }).end();
      return;
    }
    const attemptId = String(headers['attempt-id'] ?? '');
    const target = headers['target-instance'];
    if (target !== undefined && target !== instanceId) {
      response.writeHead(421, { 'instance-id': instanceId, 'attempt-id': attemptId }).end();
      return;
    }
    this.#occupySlot(attemptId, response, () => this.#run(attemptId, incoming, response));
  }

  /** Runs a request at once, once a slot is free, or never, as the bounds of the worker say. */
  #occupySlot(attemptId: string, response: ServerResponse, run: () => void): void {
    const { instanceId, slots = DEFAULT_SLOTS, queueLength } = this.#options;
    if (queueLength === undefined) {
      run();
      return;
    }
    if (this.#occupiedSlots >= slots && this.#queue.size >= queueLength) {
      response.writeHead(503, {
        ...{ 'instance-id': instanceId, 'attempt-id': attemptId, 'not-executed': '1' },
      });
      response.end();
      return;
    }
    this.#queue.set(response, run);
    // A response closes when it is complete or its connection is.
    response.once('close', () => {
      // A request whose caller left while it waited held no slot.
      if (!this.#queue.delete(response)) this.#occupiedSlots -= 1;
      this.#runQueued();
    });
    this.#runQueued();
  }

  #runQueued(): void {
    const { slots = DEFAULT_SLOTS } = this.#options;
    [...this.#queue]
      .slice(0, Math.max(0, slots - this.#occupiedSlots))
      .forEach(([response, run]) => {
        this.#queue.delete(response);
        this.#occupiedSlots += 1;
        run();
      });
  }

  #run(attemptId: string, incoming: IncomingMessage, response: ServerResponse): void {
    const { instanceId, workMs = 5, findStatus = () => 200 } = this.#options;
    const { headers, url = '' } = incoming;
    const callerService = String(headers['caller-service'] ?? '');
    const { rawHeaders } = incoming;
    const run = { attemptId, path: url, callerService, rawHeaders, atMs: performance.now() };
    this.runs.push(run);
    const rawAnswer = this.#options.findRawAnswer?.(run);
    if (rawAnswer !== undefined) {
      incoming.socket.write(rawAnswer);
      return;
    }
    if (this.#options.writeRawAnswer?.(run, incoming.socket) === true) return;
    setTimeout(() => {
      response.writeHead(findStatus(), {
        'attempt-id': attemptId,
        'server-stamp': `s.${instanceId}`,
      });
      response.end(`${instanceId} ${url}`);
    }, workMs);
  }
}
