/** A worker as the pages describe it: serves requests, answers health checks, sends heartbeats. */
import { createServer } from 'node:http';

import exchange from './exchange.js';

const HEARTBEAT_INTERVAL_MS = 1_500;

export default class Worker {
  #options;

  #server;

  #timer;

  #bornAtMs = Date.now();

  #sequence = 0;

  /**
   * @param options - `id`, `service`, `zone`, `address`, `control` (address of the node beside it),
   *   `slots`, `workMs`, and `handle` to answer a request in another way
   */
  constructor(options) {
    this.#options = { slots: 8, workMs: 20, ...options };
    this.id = options.id;
    this.state = 'ready';
    this.isLeaving = false;
    /** Requests that it began to run. */
    this.runs = [];
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.on('checkContinue', (request, response) => this.#handle(request, response));
  }

  async start() {
    const [host, port] = this.#options.address.split(':');
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(Number(port), host, resolve);
    });
    this.startHeartbeats();
  }

  startHeartbeats() {
    this.sendHeartbeat();
    this.#timer = setInterval(() => this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  stopHeartbeats() {
    clearInterval(this.#timer);
  }

  async stop() {
    this.stopHeartbeats();
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  /** Creates the call that a heartbeat sends now. */
  createHeartbeat() {
    const { service, address, zone, slots } = this.#options;
    this.#sequence += 1;
    return {
      ...{ service, address, zone, version: 'v1', slots, state: this.state },
      ...{ cold_remaining: '0ms', sequence: this.#sequence, born: this.#bornAtMs },
    };
  }

  /** Sends a heartbeat, by default one that is created now; resolves with the status. */
  async sendHeartbeat(body = this.createHeartbeat()) {
    return (await this.#call('instances.heartbeat', body)).status;
  }

  /** Deregisters; resolves with the status. */
  async deregister() {
    return (await this.#call('instances.deregister', { born: this.#bornAtMs })).status;
  }

  #call(call, body) {
    return exchange(this.#options.control, {
      method: 'POST',
      path: `/-/rpc?call=${call}&of=${this.id}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
  }

  #handle(request, response) {
    if (request.url === '/health') {
      const isWell = this.state === 'ready' && !this.isLeaving;
      response.writeHead(isWell ? 200 : 503, { 'instance-id': this.id }).end();
      return;
    }
    const attemptId = request.headers['attempt-id'];
    const target = request.headers['target-instance'];
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { 'attempt-id': attemptId, 'not-executed': '1' }).end();
      return;
    }
    const run = { attemptId, method: request.method, path: request.url, atMs: performance.now() };
    const { handle = undefined, workMs } = this.#options;
    if (handle) {
      handle({ request, response, run, worker: this });
      return;
    }
    this.runs.push(run);
    request.resume();
    setTimeout(() => this.answer(response, attemptId, `${this.id} ${request.url}`), workMs);
  }

  /** Creates the signature of an answer, which names the request that it belongs to. */
  createStamp(attemptId) {
    return `stamp.${this.id}.${attemptId}`;
  }

  answer(response, attemptId, body, status = 200) {
    response.writeHead(status, {
      ...{ 'attempt-id': attemptId, 'server-stamp': this.createStamp(attemptId) },
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}
