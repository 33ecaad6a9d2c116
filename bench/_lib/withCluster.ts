import { TestCluster } from '../../stand-ins/cluster/index.js';

import type { TestClusterOptions } from '../../stand-ins/cluster/index.js';

const print = (line: string): boolean => process.stderr.write(`${line}\n`);

/**
 * Runs an experiment on a cluster and always ends its processes.
 *
 * @param options - layout of the cluster
 * @param experiment - called once the nodes are started
 */
const withCluster = async (
  options: TestClusterOptions,
  experiment: (cluster: TestCluster) => Promise<void>,
): Promise<void> => {
  // Logging is kept out of the figures.
  const cluster = new TestCluster({ print, logLevel: 'warn', ...options });
  try {
    await cluster.start();
    await experiment(cluster);
  } finally {
    await cluster.stop();
  }
};

export default withCluster;
