import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { Http2SessionManager } from '@connectrpc/connect-node';

const ignoreError = (): void => undefined;

/**
 * A session manager whose sessions always have an error listener. The one of connect-es 2.1 removes
 * its listener from a session that it has just destroyed; the error that the session then emits
 * ends the process.
 */
export default class GuardedSessionManager {
  readonly #manager: Http2SessionManager;

  /** Takes the arguments of the session manager of connect-es. */
  constructor(...options: ConstructorParameters<typeof Http2SessionManager>) {
    this.#manager = new Http2SessionManager(...options);
  }

  get authority(): string {
    return this.#manager.authority;
  }

  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = await this.#manager.request(method, path, headers, options);
    const { session } = stream;
    if (session && !session.listeners('error').includes(ignoreError)) {
      session.on('error', ignoreError);
    }
    return stream;
  }

  notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.#manager.notifyResponseByteRead(stream);
  }

  /** Closes the connection; requests under way fail. */
  abort(): void {
    this.#manager.abort();
  }
}
