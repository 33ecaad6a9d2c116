import { Role } from './messages.js';
import { startWorker } from './startWorker.js';

import type { Path } from './runOpenLoop.js';
import type { Worker } from './startWorker.js';

/** Benchmark processes and the request paths through them. */
export interface BenchmarkProcesses {
  /** Entry nodes by path name. */
  workers: Record<string, Worker>;
  owners: Worker;
  /** The direct path comes first. */
  paths: Path[];
  stop: () => void;
}

/**
 * Starts backend servers, the nodes beside them, and one entry node for each path.
 *
 * @param otherWorker - worker script of another build, whose entry nodes are added for comparison
 */
export const startBenchmarkProcesses = async (
  otherWorker?: string,
): Promise<BenchmarkProcesses> => {
  const backends = await startWorker({ role: Role.Backends });
  const addresses = backends.addresses ?? [];
  const owners = await startWorker({
    role: Role.Owners,
    backends: [
      ...addresses.map((address) => ({ service: 'granted', address, isDirect: true })),
      ...addresses.map((address) => ({ service: 'forwarded', address, isDirect: false })),
      ...addresses.map((address) => ({ service: 'rotated', address, isDirect: false })),
    ],
  });
  const startEntry = (service: string, isRoundRobin: boolean, path?: string): Promise<Worker> =>
    startWorker({ role: Role.Entry, records: owners.records, service, isRoundRobin }, path);
  const workers = {
    'one hop, grant': await startEntry('granted', false),
    'two hops': await startEntry('forwarded', false),
    'two hops, round robin': await startEntry('rotated', true),
    ...(otherWorker === undefined
      ? {}
      : {
          'one hop, grant, other build': await startEntry('granted', false, otherWorker),
          'two hops, other build': await startEntry('forwarded', false, otherWorker),
        }),
  };
  const paths = [
    { name: 'direct', address: addresses[0] ?? '' },
    ...Object.entries(workers).map(([name, worker]) => ({
      name,
      address: worker.addresses?.[0] ?? '',
    })),
  ];
  const stop = (): void =>
    [backends, owners, ...Object.values(workers)].forEach((worker) => worker.stop());
  return { workers, owners, paths, stop };
};
