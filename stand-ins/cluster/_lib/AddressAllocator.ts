import { createServer } from 'node:net';

import type { AddressInfo } from 'node:net';

const HOST_OCTET_COUNT = 254;

/**
 * Allocates listener addresses that must be known before the process starts.
 *
 * Each listener gets its own loopback IP and a port chosen by the system. Outgoing connections bind
 * to 127.0.0.1, so they cannot occupy a listener's port while its process is down.
 */
export default class AddressAllocator {
  readonly #prefix = `127.${1 + Math.floor(Math.random() * HOST_OCTET_COUNT)}.${Math.floor(Math.random() * HOST_OCTET_COUNT)}`;

  #count = 0;

  /** Returns a free `IP:port`. */
  async allocate(): Promise<string> {
    this.#count += 1;
    const host = `${this.#prefix}.${1 + (this.#count % HOST_OCTET_COUNT)}`;
    const probe = createServer();
    await new Promise<void>((resolve, reject) => {
      probe.once('error', reject);
      probe.listen(0, host, resolve);
    });
    const { port } = probe.address() as AddressInfo;
    await new Promise((resolve) => {
      probe.close(resolve);
    });
    return `${host}:${port}`;
  }
}
