import { request } from 'undici';

import type { BackendState } from './types.js';

const RENEWALS_PER_LEASE = 4;

/** Body of `PUT /v1/servers/{id}`. */
export interface AnnouncementBody {
  service: string;
  address: string;
  directAddress?: string;
  slots: number;
  connections: number;
  state: BackendState;
}

/** Announces a server to its node and renews the announcement within the lease. */
export class Announcer {
  readonly #url: string;

  readonly #leaseMs: number;

  readonly #describe: () => AnnouncementBody;

  #timer: NodeJS.Timeout | undefined;

  /** HTTP status of the last announcement; 0 before the first one or when it failed. */
  lastStatus = 0;

  constructor(url: string, leaseMs: number, describe: () => AnnouncementBody) {
    this.#url = url;
    this.#leaseMs = leaseMs;
    this.#describe = describe;
  }

  /** Announces the current state; if the node is unreachable, the next renewal retries. */
  async announce(): Promise<void> {
    try {
      const response = await request(this.#url, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.#describe()),
        headersTimeout: this.#leaseMs,
      });
      this.lastStatus = response.statusCode;
      await response.body.dump();
    } catch {
      this.lastStatus = 0;
    }
  }

  start(): void {
    const renew = (): void => {
      this.announce().catch(() => undefined);
    };
    renew();
    this.#timer = setInterval(renew, this.#leaseMs / RENEWALS_PER_LEASE);
  }

  /** Stops renewing and removes the server from its node. */
  async leave(): Promise<void> {
    clearInterval(this.#timer);
    try {
      const response = await request(this.#url, {
        method: 'DELETE',
        headersTimeout: this.#leaseMs,
      });
      await response.body.dump();
    } catch {
      // The node drops the server when its lease expires.
    }
  }
}
