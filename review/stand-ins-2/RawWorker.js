/** A worker that writes the bytes of its answers itself, and announces itself to the node beside it. */
import { createServer } from 'node:net';
import { request } from 'node:http';

const HEARTBEAT_INTERVAL_MS = 1_500;
const HEAD_END = '\r\n\r\n';

/** Formats an answer of a worker with its id and signature. */
export const formatAnswer = ({ statusLine = '200 OK', attemptId, stamp, body, fields = '' }) =>
  `HTTP/1.1 ${statusLine}\r\nAttempt-Id: ${attemptId}\r\nServer-Stamp: ${stamp}\r\n${fields}` +
  `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

const parseHead = (head) => {
  const [requestLine, ...lines] = head.split('\r\n');
  const [method, path] = requestLine.split(' ');
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  );
  return { method, path, headers };
};

export default class RawWorker {
  /** Requests that the worker ran. */
  runs = [];

  #sockets = new Set();

  #sequence = 0;

  #bornAtMs = Date.now();

  /**
   * @param options - instance id, service, zone, slots, `IP:port` of the worker and of the `control`
   *   listener of its machine, and `answer`, which writes the answer to a request on its connection
   */
  constructor(options) {
    this.options = options;
    this.server = createServer((socket) => this.#handleConnection(socket));
  }

  async start() {
    const [host, port] = this.options.address.split(':');
    await new Promise((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
    this.timer = setInterval(() => this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS);
    this.firstTimer = setInterval(() => this.sendHeartbeat(), HEARTBEAT_INTERVAL_MS / 5);
    setTimeout(() => clearInterval(this.firstTimer), HEARTBEAT_INTERVAL_MS * 2);
  }

  async stop() {
    this.stopHeartbeats();
    this.server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  stopHeartbeats() {
    clearInterval(this.timer);
    clearInterval(this.firstTimer);
  }

  /** Sends a heartbeat; resolves with the status of its answer, 0 without one. */
  sendHeartbeat(changes = {}) {
    return this.holdHeartbeat(changes)();
  }

  /** Formats the next heartbeat, and returns a function that sends it. */
  holdHeartbeat(changes = {}) {
    const { instanceId, service, address, zone, slots = 18 } = this.options;
    this.#sequence += 1;
    const body = JSON.stringify({
      ...{ service, address, zone, version: 'v1', slots, state: 'ready', cold_remaining: '0ms' },
      ...{ sequence: this.#sequence, born: this.#bornAtMs },
      ...changes,
    });
    return () => this.call(`instances.heartbeat&of=${instanceId}`, body);
  }

  formatDeregistration() {
    return JSON.stringify({ born: this.#bornAtMs });
  }

  /** Sends a call to the node beside the worker. */
  call(name, body) {
    const [host, port] = this.options.control.split(':');
    return new Promise((resolve) => {
      const call = request(
        {
          ...{ host, port, method: 'POST', path: `/-/rpc?call=${name}`, agent: false },
          headers: { 'content-type': 'application/json' },
        },
        (response) => {
          response.resume();
          response.on('end', () => resolve(response.statusCode));
          response.on('error', () => resolve(0));
        },
      );
      call.on('error', () => resolve(0));
      call.end(body);
    });
  }

  #handleConnection(socket) {
    this.#sockets.add(socket);
    socket.on('close', () => this.#sockets.delete(socket));
    socket.on('error', () => undefined);
    const connection = { answered: 0 };
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      let end = received.indexOf(HEAD_END);
      while (end >= 0) {
        const head = parseHead(received.slice(0, end));
        const length = Number(head.headers['content-length'] ?? 0);
        const next = end + HEAD_END.length + length;
        if (received.length < next) return;
        const body = received.slice(end + HEAD_END.length, next);
        received = received.slice(next);
        this.#handleRequest({ ...head, body }, socket, connection);
        end = received.indexOf(HEAD_END);
      }
    });
  }

  #handleRequest(message, socket, connection) {
    const { instanceId, answer, isHealthy = () => true } = this.options;
    const { path, headers } = message;
    if (path === '/health') {
      const status = isHealthy() ? '200 OK' : '503 Service Unavailable';
      socket.write(`HTTP/1.1 ${status}\r\nInstance-Id: ${instanceId}\r\nContent-Length: 0\r\n\r\n`);
      return;
    }
    const attemptId = headers['attempt-id'];
    if (headers['target-instance'] !== undefined && headers['target-instance'] !== instanceId) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${attemptId}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const run = { ...message, attemptId, atMs: performance.now() };
    this.runs.push(run);
    answer(run, socket, connection);
    Object.assign(connection, { answered: connection.answered + 1 });
  }
}
