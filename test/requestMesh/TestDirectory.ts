import type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../src/process/endpoints/types.js';
import type { LocalServers } from '../../src/process/localServers/index.js';

/** In-memory endpoint directory that returns the current records of all nodes without delay. */
export default class TestDirectory {
  readonly nodes = new Map<string, LocalServers>();

  #frozen: NodeRecord[] | undefined;

  /** Freezes the current records, like a node that no longer receives updates. */
  freeze(): void {
    this.#frozen = this.records();
  }

  records(): NodeRecord[] {
    if (this.#frozen) return this.#frozen;
    return [...this.nodes.values()].map((servers) => servers.record());
  }

  serversOf(service: string): ServerEntry[] {
    return this.records().flatMap((node) =>
      node.servers
        .filter((server) => server.service === service)
        .map((server) => ({ server, node })),
    );
  }
}
