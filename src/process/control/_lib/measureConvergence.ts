import type { DistributionHub } from '../../../connection/distribution/DistributionHub/index.js';
import type { MetricsRegistry } from '../../metrics/index.js';
import type { ControlLog } from '../../replication/ControlLog/index.js';

const US_PER_MS = 1_000;

/**
 * Records, for each attached node, the time from the acceptance of a version until it is in force on
 * the node, in the histogram `configuration_convergence_us`.
 *
 * @param hub - provides the reports of the attached nodes
 * @param log - provides the accepted versions
 * @param metrics - registry of the process
 * @returns a function that stops the measurement
 */
const measureConvergence = (
  hub: DistributionHub,
  log: ControlLog,
  metrics: MetricsRegistry,
): (() => void) => {
  const histogram = metrics.histogram('configuration_convergence_us');
  const reportedVersions = new Map<string, number>();
  return hub.nodeStatuses.onOwnChanged((nodeId) => {
    const report = hub.nodeStatuses.find(nodeId);
    if (!report || report.version === 0 || reportedVersions.get(nodeId) === report.version) return;
    const isFirstReport = !reportedVersions.has(nodeId);
    reportedVersions.set(nodeId, report.version);
    const accepted = log.findHolder(report.version);
    // The first report is skipped: a node that has just attached may have installed its version long
    // ago.
    if (isFirstReport || !accepted) return;
    const elapsedMs = report.inForceAtMs - accepted.acceptedAtMs;
    histogram.recordValue(Math.max(0, Math.round(elapsedMs * US_PER_MS)));
  });
};

export default measureConvergence;
