import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';
import { constants } from 'node:http2';

import { Code, ConnectError } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';

type SessionManagerArguments = ConstructorParameters<typeof Http2SessionManager>;

/** Ping intervals and timeouts of a session manager, in milliseconds. */
type PingOptions = NonNullable<SessionManagerArguments[1]>;

const DEFAULT_PING_TIMEOUT_MS = 1_000;

// Checking an idle session takes up to one ping timeout, and a reconnect may follow.
const OPEN_TIMEOUT_FACTOR = 2;

const ignoreError = (): void => undefined;

const ignoreSessionErrors = (stream: ClientHttp2Stream): void => {
  const { session } = stream;
  if (session && !session.listeners('error').includes(ignoreError)) {
    session.on('error', ignoreError);
  }
};

/**
 * Session manager that works around two faults of the session manager of connect-es 2.1:
 * - It removes its error listener from a session that it destroys; the error that the session emits
 *   afterwards ends the process.
 * - The check of an idle session does not end if the session closes without an error during the
 *   check; every later request then waits for it.
 */
export default class GuardedSessionManager {
  readonly #arguments: [string, PingOptions, SessionManagerArguments[2]];

  readonly #openTimeoutMs: number;

  readonly #onBytesRead: () => void;

  #manager: Http2SessionManager;

  /**
   * Takes the arguments of the session manager of connect-es.
   *
   * @param onBytesRead - called whenever a part of a response was read
   */
  constructor(
    url: string,
    pingOptions: PingOptions,
    sessionOptions: SessionManagerArguments[2],
    onBytesRead: () => void = () => undefined,
  ) {
    this.#onBytesRead = onBytesRead;
    this.#arguments = [url, pingOptions, sessionOptions];
    this.#manager = new Http2SessionManager(...this.#arguments);
    const pingTimeoutMs = pingOptions.pingTimeoutMs ?? DEFAULT_PING_TIMEOUT_MS;
    this.#openTimeoutMs = pingTimeoutMs * OPEN_TIMEOUT_FACTOR;
  }

  get authority(): string {
    return this.#manager.authority;
  }

  /** Opens a stream; rejects with Unavailable, with nothing sent, if that exceeds the time limit. */
  request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const manager = this.#manager;
    return new Promise((resolve, reject) => {
      let isLate = false;
      const timer = setTimeout(() => {
        isLate = true;
        this.#replace(manager);
        reject(new ConnectError(`connecting to ${this.authority} timed out`, Code.Unavailable));
      }, this.#openTimeoutMs);
      manager.request(method, path, headers, options).then(
        (stream) => {
          clearTimeout(timer);
          ignoreSessionErrors(stream);
          if (isLate) stream.close(constants.NGHTTP2_CANCEL);
          resolve(stream);
        },
        (error: Error) => {
          clearTimeout(timer);
          reject(error);
        },
      );
    });
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.#manager.notifyResponseByteRead(stream);
    this.#onBytesRead();
  }

  /** Closes the connection; requests in flight fail. */
  abort(): void {
    this.#manager.abort();
  }

  #replace(stuck: Http2SessionManager): void {
    if (this.#manager !== stuck) return;
    this.#manager = new Http2SessionManager(...this.#arguments);
    stuck.abort();
  }
}
