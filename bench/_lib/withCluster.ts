import { TestCluster } from '../../stand-ins/cluster/index.js';

import type { TestClusterOptions } from '../../stand-ins/cluster/index.js';

const print = (line: string): boolean => process.stderr.write(`${line}\n`);

/**
 * Runs an experiment on a cluster and stops its processes afterwards, also after an error.
 *
 * @param options - layout of the cluster
 * @param experiment - called after the nodes have started
 */
const withCluster = async (
  options: TestClusterOptions,
  experiment: (cluster: TestCluster) => Promise<void>,
): Promise<void> => {
  // Keeps the cost of logging out of the measurement.
  const cluster = new TestCluster({ print, logLevel: 'warn', ...options });
  try {
    await cluster.start();
    await experiment(cluster);
  } finally {
    await cluster.stop();
  }
};

export default withCluster;
