/** Injects planned faults into a cluster of real processes and removes them again. */
import { LinkFault } from '../../stand-ins/faultProxy/index.js';
import { FaultKind, FaultTarget } from '../drawFaults/index.js';

import type { TestCluster } from '../../stand-ins/cluster/index.js';
import type ManagedProcess from '../../stand-ins/cluster/_lib/ManagedProcess.js';
import type { FaultProxy } from '../../stand-ins/faultProxy/index.js';
import type { PlannedFault } from '../drawFaults/index.js';

/** Longer than a heartbeat interval, shorter than the timeout that declares a connection lost. */
const DELAY_MS = 150;
const JITTER_MS = 100;

interface AffectedProcess {
  process: ManagedProcess;
  /** Fault proxies in front of the listeners of the process. */
  proxies: FaultProxy[];
  /** Starts the process if it is not running. */
  restart: () => Promise<void>;
}

const LINK_FAULTS: Partial<Record<FaultKind, LinkFault>> = {
  [FaultKind.Delay]: LinkFault.Delay,
  [FaultKind.Reset]: LinkFault.Reset,
  [FaultKind.OneWay]: LinkFault.OnlyToTarget,
  [FaultKind.Silence]: LinkFault.HalfOpen,
};

export default class FaultInjector {
  readonly #cluster: TestCluster;

  /** Active faults of each process; the process is resumed or restarted when the last one ends. */
  readonly #activeFaults = new Map<ManagedProcess, Set<PlannedFault>>();

  constructor(cluster: TestCluster) {
    this.#cluster = cluster;
  }

  /** Injects a fault; resolves once it has taken effect. */
  async begin(fault: PlannedFault): Promise<void> {
    const { process, proxies } = this.#findAffectedProcess(fault);
    const active = this.#activeFaults.get(process) ?? new Set();
    this.#activeFaults.set(process, active.add(fault));
    const link = LINK_FAULTS[fault.kind];
    if (link !== undefined) {
      proxies.forEach((proxy) =>
        proxy.setLink({ fault: link, delayMs: DELAY_MS, jitterMs: JITTER_MS }),
      );
    } else if (process.isRunning) await FaultInjector.#signalProcess(process, fault.kind);
  }

  /** Removes a fault. Effects that another active fault also causes remain. */
  async end(fault: PlannedFault): Promise<void> {
    const affected = this.#findAffectedProcess(fault);
    const active = this.#activeFaults.get(affected.process);
    active?.delete(fault);
    const remaining = [...(active ?? [])];
    const hasNoLinkFault = !remaining.some(({ kind }) => LINK_FAULTS[kind] !== undefined);
    if (hasNoLinkFault) affected.proxies.forEach((proxy) => proxy.setLink());
    // A process that was paused while it stops ends only after it is resumed.
    if (!remaining.some(({ kind }) => kind === FaultKind.Pause)) affected.process.resume();
    if (remaining.length > 0) return;
    await affected.restart();
  }

  static async #signalProcess(process: ManagedProcess, kind: FaultKind): Promise<void> {
    if (kind === FaultKind.Pause) process.pause();
    else if (kind === FaultKind.Reload) process.reload();
    else if (kind === FaultKind.Kill) await process.kill();
    else {
      // A paused process cannot handle SIGTERM.
      process.resume();
      await process.terminate();
    }
  }

  #findAffectedProcess({ target, index }: PlannedFault): AffectedProcess {
    const { controls, nodes, backends } = this.#cluster;
    if (target === FaultTarget.Server) {
      const backend = backends[index]!;
      return {
        process: backend.process,
        proxies: backend.proxy ? [backend.proxy] : [],
        restart: async () => {
          if (!backend.process.isRunning) await this.#cluster.restartBackend(backend);
        },
      };
    }
    if (target === FaultTarget.Control) {
      const { process, proxy } = controls[index]!;
      return { process, proxies: proxy ? [proxy] : [], restart: async () => process.start() };
    }
    const { process, forwardProxy, peerProxy } = nodes[index]!;
    const proxies = [forwardProxy, peerProxy].flatMap((proxy) => (proxy ? [proxy] : []));
    return { process, proxies, restart: async () => process.start() };
  }
}
