/** Stand-in for a backend server: executes and records requests, and injects faults. */
import { createServer as createHttpServer } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http';
import type { AddressInfo, Server as TcpServer } from 'node:net';
import {
  ANSWER_BYTES_HEADER,
  buildAnswerBody,
  DEFAULT_ANSWER_BYTES,
} from '../buildAnswerBody/index.js';
import { Announcer } from './_lib/Announcer.js';
import { callNested } from './_lib/callNested.js';
import { ExecutionEnd, ExecutionEvent, ExecutionLog } from './_lib/ExecutionLog.js';
import { ProbeReporter } from './_lib/ProbeReporter.js';
import { BackendFault, BackendState, NO_FAULTS } from './_lib/types.js';

import type { BackendServerOptions, FaultSettings } from './_lib/types.js';

export { CALL_DEPTH_HEADER } from './_lib/callNested.js';
export { ExecutionEnd, ExecutionEvent, readExecutions } from './_lib/ExecutionLog.js';
export type { ExecutionRecord } from './_lib/ExecutionLog.js';
export { BackendFault, BackendState, NO_FAULTS, ProbeBehaviour } from './_lib/types.js';
export type { BackendServerOptions, FaultSettings } from './_lib/types.js';

const DEFAULTS = {
  host: '127.0.0.1',
  port: 0,
  slots: 20,
  connections: 130,
  newConnectionMs: 1,
  probeMs: 6,
  serviceMs: 5,
  speedFactor: 1,
  coldStartMs: 0,
  coldFactor: 5,
  leaseMs: 3_000,
  drainMs: 2_500,
  isDirect: true,
};

const SERVICE_TIME_HEADER = 'x-service-ms';
const DRAIN_CHECK_MS = 20;

type ResolvedOptions = BackendServerOptions & typeof DEFAULTS;

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

const readHeaderNumber = (request: IncomingMessage, name: string): number | undefined => {
  const value = request.headers[name];
  return value === undefined ? undefined : Number(value);
};

/**
 * Backend server with a fixed number of slots and a connection limit.
 *
 * @example
 * const server = new BackendServer({ serverId: 's1', service: 'order-desk', recordFile, terminate });
 * await server.start();
 */
export class BackendServer {
  readonly #options: ResolvedOptions;

  readonly #log: ExecutionLog;

  readonly #probes = new ProbeReporter();

  readonly #http: HttpServer;

  readonly #tcp: TcpServer;

  #announcer: Announcer | undefined;

  #faults: FaultSettings = NO_FAULTS;

  #state = BackendState.Serving;

  #inFlight = 0;

  #shedCount = 0;

  #startedAtMs = 0;

  #drainingSinceMs: number | undefined;

  #drained: Promise<void> | undefined;

  constructor(options: BackendServerOptions) {
    this.#options = { ...DEFAULTS, ...options };
    this.#log = new ExecutionLog(options.recordFile);
    this.#http = createHttpServer((request, response) => {
      this.#handleRequest(request, response).catch(() => response.destroy());
    });
    // Delays the first request of a new connection by `newConnectionMs`.
    this.#tcp = createTcpServer((socket) => {
      socket.on('error', () => undefined);
      setTimeout(() => this.#http.emit('connection', socket), this.#options.newConnectionMs);
    });
    this.#tcp.maxConnections = this.#options.connections;
  }

  get port(): number {
    return (this.#tcp.address() as AddressInfo).port;
  }

  /** Returns the state and the counters for the admin endpoint. */
  describe(): Record<string, number | string> {
    return {
      serverId: this.#options.serverId,
      state: this.#state,
      inFlight: this.#inFlight,
      shedCount: this.#shedCount,
      lastAnnouncementStatus: this.#announcer?.lastStatus ?? 0,
    };
  }

  /** Listens and starts the announcements; resolves once the port is known. */
  async start(): Promise<void> {
    const { host, port, nodeUrl, serverId, leaseMs } = this.#options;
    await new Promise<void>((resolve) => {
      this.#tcp.listen(port, host, resolve);
    });
    this.#startedAtMs = Date.now();
    this.#recordState();
    if (nodeUrl === undefined) return;
    const url = `${nodeUrl}/v1/servers/${encodeURIComponent(serverId)}`;
    this.#announcer = new Announcer(url, leaseMs, () => this.#describeAnnouncement());
    this.#announcer.start();
  }

  /** Sets the faults; omitted settings are reset to their defaults. */
  setFaults(faults: Partial<FaultSettings>): void {
    this.#faults = { ...NO_FAULTS, ...faults };
  }

  /** Announces draining, finishes requests in flight, leaves and closes. Repeated calls join. */
  drain(): Promise<void> {
    this.#drained ??= this.#drain();
    return this.#drained;
  }

  async #drain(): Promise<void> {
    this.#state = BackendState.Draining;
    this.#recordState();
    await this.#announcer?.announce();
    this.#drainingSinceMs = Date.now();
    const endsAtMs = this.#drainingSinceMs + this.#options.drainMs;
    while (this.#inFlight > 0 || Date.now() < endsAtMs) await sleep(DRAIN_CHECK_MS);
    await this.#announcer?.leave();
    this.#tcp.close();
    this.#http.closeAllConnections();
    this.#log.close();
  }

  #describeAnnouncement() {
    const { service, host, slots, connections, isDirect } = this.#options;
    const address = this.#options.announcedAddress ?? `${host}:${this.port}`;
    const direct = isDirect ? { directAddress: address } : {};
    return { service, address, ...direct, slots, connections, state: this.#state };
  }

  #recordState(): void {
    const healthy = this.#state === BackendState.Serving;
    const { slots } = this.#options;
    this.#probes.recordState(
      { healthy, state: this.#state, inFlight: this.#inFlight, slots },
      Date.now(),
    );
  }

  #computeServiceMs(request: IncomingMessage, nowMs: number): number {
    const { serviceMs, speedFactor, coldStartMs, coldFactor } = this.#options;
    const baseMs = readHeaderNumber(request, SERVICE_TIME_HEADER) ?? serviceMs;
    const coldShare = coldStartMs > 0 ? 1 - (nowMs - this.#startedAtMs) / coldStartMs : 0;
    const coldMultiplier = 1 + Math.max(0, coldShare) * (coldFactor - 1);
    const slowMultiplier = this.#faults.fault === BackendFault.Slow ? this.#faults.slowFactor : 1;
    return (baseMs * coldMultiplier * slowMultiplier) / speedFactor;
  }

  async #respondToProbe(path: string, response: ServerResponse): Promise<void> {
    await sleep(this.#options.probeMs);
    const report = this.#probes.report(this.#faults, Date.now());
    const status = path === '/health' && !report.healthy ? 503 : 200;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(report));
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    if (path === '/health' || path === '/load') {
      await this.#respondToProbe(path, response);
    } else if (this.#faults.fault === BackendFault.CloseWhileReading) {
      request.socket.destroy();
    } else if (this.#faults.fault === BackendFault.RespondBeforeBody) {
      response.writeHead(413, { 'content-length': 0, connection: 'close' }).end();
    } else if (this.#inFlight >= this.#options.slots) {
      this.#shed(request, response);
    } else {
      this.#inFlight += 1;
      this.#recordState();
      try {
        await this.#execute(request, response);
      } finally {
        this.#inFlight -= 1;
        this.#recordState();
      }
    }
  }

  #shed(request: IncomingMessage, response: ServerResponse): void {
    this.#shedCount += 1;
    request.resume();
    response
      .writeHead(503, { 'foxtailvane-outcome': 'not-run', 'retry-after': '1' })
      .end('all slots are in use\n');
  }

  async #execute(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    const cancellation = new AbortController();
    response.once('close', () => cancellation.abort());
    const record = this.#startRecord(request);
    try {
      const status = await this.#processRequest(request, cancellation.signal);
      const end = status === 200 ? ExecutionEnd.Answered : ExecutionEnd.Failed;
      // Recorded before the response is sent, so that an answered request always has both records.
      this.#log.append({ ...record, event: ExecutionEvent.End, atMs: Date.now(), end });
      this.#respond(request, response, body, status);
    } catch {
      const end = cancellation.signal.aborted
        ? ExecutionEnd.Cancelled
        : ExecutionEnd.DeadlineExceeded;
      this.#log.append({ ...record, event: ExecutionEvent.End, atMs: Date.now(), end });
      if (!response.destroyed) response.writeHead(504, { 'content-length': 0 }).end();
    }
  }

  #startRecord(request: IncomingMessage) {
    const nowMs = Date.now();
    const attempt = request.headers['foxtailvane-attempt'];
    const record = {
      event: ExecutionEvent.Start,
      requestId: String(request.headers['x-request-id'] ?? ''),
      serverId: this.#options.serverId,
      service: this.#options.service,
      atMs: nowMs,
      path: request.url ?? '/',
      ...(attempt === undefined ? {} : { attempt: String(attempt) }),
      ...(this.#drainingSinceMs === undefined
        ? {}
        : { drainingForMs: nowMs - this.#drainingSinceMs }),
    };
    this.#log.append(record);
    return record;
  }

  /**
   * Waits for the service time and sends the nested call.
   *
   * @returns the HTTP status of the response
   * @throws when the caller disconnects or the deadline passes
   */
  async #processRequest(request: IncomingMessage, cancelled: AbortSignal): Promise<number> {
    if (this.#faults.fault === BackendFault.FailAll) return 500;
    const startedAt = performance.now();
    const deadlineMs = readHeaderNumber(request, 'foxtailvane-deadline-ms');
    const signal =
      deadlineMs === undefined
        ? cancelled
        : AbortSignal.any([cancelled, AbortSignal.timeout(Math.max(0, Math.ceil(deadlineMs)))]);
    const serviceMs = this.#computeServiceMs(request, Date.now());
    if (serviceMs > 0) await sleep(serviceMs, undefined, { signal });
    const { nestedUrl, nestedHost } = this.#options;
    if (nestedUrl === undefined) return 200;
    const remainingMs =
      deadlineMs === undefined
        ? undefined
        : Math.max(1, Math.floor(deadlineMs - (performance.now() - startedAt)));
    const target =
      nestedHost === undefined ? { url: nestedUrl } : { url: nestedUrl, host: nestedHost };
    const status = await callNested(target, request.headers, remainingMs, signal);
    return status === 200 ? 200 : 502;
  }

  #respond(request: IncomingMessage, response: ServerResponse, body: Buffer, status: number): void {
    if (status !== 200) {
      response.writeHead(status, { 'content-length': 0 }).end();
      return;
    }
    const sizeBytes = readHeaderNumber(request, ANSWER_BYTES_HEADER) ?? DEFAULT_ANSWER_BYTES;
    const answer = buildAnswerBody(String(request.headers['x-request-id'] ?? ''), body, sizeBytes);
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': answer.length,
      'x-server-id': this.#options.serverId,
    });
    if (this.#faults.fault === BackendFault.CrashDuringResponse) {
      const half = answer.subarray(0, Math.floor(answer.length / 2));
      response.write(half, () => this.#options.terminate());
    } else {
      response.end(answer);
    }
  }
}
