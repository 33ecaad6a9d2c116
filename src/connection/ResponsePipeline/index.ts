import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const pipelines = new WeakMap<Socket, ResponsePipeline>();

/**
 * Pending responses of one connection, in the order of their requests.
 *
 * A caller may send further requests before the first one is answered. Those behind a response that
 * closes the connection count as not received, and the caller sends them again, so none of them may
 * be handled.
 *
 * @example
 * const pipeline = ResponsePipeline.of(request.socket);
 * if (pipeline.add(response, { isClosing: isDraining })) handle(request, response);
 */
export default class ResponsePipeline {
  readonly #pending = new Set<ServerResponse>();

  /** The last response, if it closes the connection only as long as it is the last. */
  #closingLast: ServerResponse | undefined;

  #isClosed = false;

  private constructor(socket: Socket) {
    socket.once('close', () => this.#endQueued());
  }

  /** Returns the pipeline of a connection; creates it at the first request. */
  static of(socket: Socket): ResponsePipeline {
    const existing = pipelines.get(socket);
    if (existing) return existing;
    const created = new ResponsePipeline(socket);
    pipelines.set(socket, created);
    return created;
  }

  /**
   * Adds the response to the next request of the connection.
   *
   * @param response - response whose head has not been written
   * @param options - `isClosing`: whether the connection closes after the response, unless a further
   *   request arrives before its head is written
   * @returns false if an earlier response closes the connection, so the request must not be handled
   */
  add(response: ServerResponse, { isClosing }: { isClosing: boolean }): boolean {
    if (this.#isClosed || this.#pendingCloses()) return false;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = true;
    this.#closingLast = isClosing && response.shouldKeepAlive ? response : undefined;
    if (this.#closingLast) this.#closingLast.shouldKeepAlive = false;
    this.#pending.add(response);
    response.once('close', () => {
      this.#isClosed ||= !response.shouldKeepAlive;
      this.#pending.delete(response);
    });
    return true;
  }

  /**
   * Closes the connection after a response whose head is not written yet. Requests that arrive from now
   * on are not handled.
   *
   * @param response - a pending response
   */
  closeAfter(response: ServerResponse): void {
    const target = response;
    target.shouldKeepAlive = false;
    this.#isClosed = true;
  }

  #pendingCloses(): boolean {
    return [...this.#pending].some(
      ({ destroyed, headersSent, shouldKeepAlive }) =>
        destroyed || (headersSent && !shouldKeepAlive),
    );
  }

  /**
   * Emits `close` on the responses that wait for those before them. Node.js emits it only on the one
   * at the head, so the requests of the others would keep running.
   */
  #endQueued(): void {
    this.#isClosed = true;
    const queued = [...this.#pending].filter(({ socket }) => socket === null);
    queued.forEach((response) => response.emit('close'));
  }
}
