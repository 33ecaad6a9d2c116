import type PeerClient from '../../../../connection/replication/PeerClient/index.js';

/** Holds one client per control peer, created on first use and shared by all tasks. */
export default class ClientPool {
  readonly #createClient: (address: string) => PeerClient;

  readonly #clients = new Map<string, PeerClient>();

  constructor(createClient: (address: string) => PeerClient) {
    this.#createClient = createClient;
  }

  /** Returns the client for an address; creates it on first use. */
  find(address: string): PeerClient {
    const existing = this.#clients.get(address);
    if (existing) return existing;
    const client = this.#createClient(address);
    this.#clients.set(address, client);
    return client;
  }

  close(): void {
    this.#clients.forEach((client) => client.close());
    this.#clients.clear();
  }
}
