import type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import type { ServerEntry } from '../../src/process/endpoints/types.js';
import type { LocalServers } from '../../src/process/localServers/index.js';

/** The records of all nodes, without delay. */
export default class TestDirectory {
  readonly nodes = new Map<string, LocalServers>();

  #frozen: NodeRecord[] | undefined;

  /** Keeps the present records, as a node does that updates do not reach. */
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
