import { createLogger } from '../../process/log/index.js';

import type { LocalServer } from '../../process/localServers/index.js';

/** Time in which the connections of a server that ended are found lost. */
const COLLECT_MS = 50;

/** A request whose connection to the server was lost. */
export interface LostRequest {
  requestId: string;
  fingerprints: bigint[];
}

export interface CrashDetectorOptions {
  /** Resolves with whether a server accepts a connection; never rejects. */
  isReachable: (address: string) => Promise<boolean>;
  /** Called with the requests that were in progress when a server ended. */
  onCrash: (lost: LostRequest[]) => void;
}

const log = createLogger('crashes');

const formatFingerprint = (fingerprint: bigint): string => fingerprint.toString(16);

/**
 * Distinguishes a server that ended from a single lost connection: a server that has lost the
 * connection of a request and accepts no new one has ended.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;

  readonly #lostByServer = new Map<LocalServer, LostRequest[]>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /**
   * Records a request whose connection was lost before its response was complete.
   *
   * @param local - the server that was running it
   * @param request - the request
   */
  recordLoss(local: LocalServer, request: LostRequest): void {
    const known = this.#lostByServer.get(local);
    if (known) {
      known.push(request);
      return;
    }
    this.#lostByServer.set(local, [request]);
    setTimeout(() => {
      this.#decide(local).catch((error: unknown) =>
        log.error({ reason: String(error) }, 'checking a server after a lost connection failed'),
      );
    }, COLLECT_MS).unref();
  }

  async #decide(local: LocalServer): Promise<void> {
    const { serverId, address } = local.server;
    const isReachable = await this.#options.isReachable(address);
    const lost = this.#lostByServer.get(local) ?? [];
    this.#lostByServer.delete(local);
    if (isReachable) return;
    const requests = lost.map(({ requestId, fingerprints }) =>
      [requestId, ...fingerprints.map(formatFingerprint)].join(' '),
    );
    log.warn({ serverId, requests }, 'server ended while it ran requests');
    this.#options.onCrash(lost);
  }
}
