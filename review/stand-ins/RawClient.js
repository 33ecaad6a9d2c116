/** A client that keeps one connection and reads the responses on it in order. */
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';

export default class RawClient {
  #socket;

  #buffer = '';

  #waiting = [];

  #timer;

  /** Set once the connection has ended. */
  isClosed = false;

  async connect(address) {
    const [host, port] = address.split(':');
    this.#socket = connect({ host, port });
    this.#socket.setNoDelay(true);
    this.#socket.on('data', (chunk) => {
      this.#buffer += chunk.toString('latin1');
      this.#parse();
    });
    const end = () => {
      this.isClosed = true;
      this.#waiting.splice(0).forEach((resolve) => resolve(undefined));
    };
    this.#socket.on('close', end);
    this.#socket.on('error', end);
    await new Promise((resolve, reject) => {
      this.#socket.once('connect', resolve);
      this.#socket.once('error', reject);
    });
  }

  /** Writes bytes; resolves once the operating system has taken them. */
  write(bytes) {
    return new Promise((resolve) => {
      this.#socket.write(bytes, () => resolve());
    });
  }

  /** Writes the head of a request. */
  writeHead(method, path, headers) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return this.write(`${[`${method} ${path} HTTP/1.1`, ...lines].join('\r\n')}${HEAD_END}`);
  }

  /** Resolves with the next response; undefined if none is complete in time. */
  readResponse(timeoutMs) {
    return new Promise((resolve) => {
      const waiter = (response) => {
        clearTimeout(this.#timer);
        resolve(response);
      };
      this.#timer = setTimeout(() => {
        this.#waiting = this.#waiting.filter((other) => other !== waiter);
        resolve(undefined);
      }, timeoutMs);
      this.#waiting.push(waiter);
      this.#parse();
    });
  }

  close() {
    this.#socket.destroy();
  }

  #parse() {
    const headEnd = this.#buffer.indexOf(HEAD_END);
    if (headEnd < 0 || this.#waiting.length === 0) return;
    const lines = this.#buffer.slice(0, headEnd).split('\r\n');
    const status = Number(lines[0].split(' ')[1]);
    const headers = Object.fromEntries(
      lines.slice(1).map((line) => {
        const [name, ...value] = line.split(':');
        return [name.toLowerCase(), value.join(':').trim()];
      }),
    );
    const bodyStart = headEnd + HEAD_END.length;
    const length = Number(headers['content-length'] ?? 0);
    if (this.#buffer.length < bodyStart + length) return;
    const body = this.#buffer.slice(bodyStart, bodyStart + length);
    this.#buffer = this.#buffer.slice(bodyStart + length);
    if (status < 200) {
      this.#parse();
      return;
    }
    this.#waiting.shift()({ status, headers, body, atMs: performance.now() });
  }
}
