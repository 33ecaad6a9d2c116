import type { DistributionHub } from '../../../connection/distribution/DistributionHub/index.js';
import type { MetricsRegistry } from '../../metrics/index.js';
import { MemberRole } from '../../replication/ControlLog/index.js';
import type { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';
import readMonotonicNowMs from '../../replication/readMonotonicNowMs/index.js';
import { RolloutController } from '../../rollouts/RolloutController/index.js';
import type { RolloutLimits } from '../../rollouts/decideRollout/index.js';
import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

/**
 * Creates the controller of roll-outs on the components of a control VM.
 *
 * @param log - replicated log
 * @param hub - source of the reports, and of the nodes and servers that are not lost
 * @param limits - what operators guarantee
 */
const createRolloutController = (
  log: ReplicatedLog,
  hub: DistributionHub,
  limits: RolloutLimits,
  metrics: MetricsRegistry,
): RolloutController =>
  new RolloutController({
    log,
    limits,
    metrics,
    reports: hub.trafficReports,
    listNodeIds: () => hub.directory.records().map(({ nodeId }) => nodeId),
    countServers: (service, softwareVersion) =>
      hub.directory
        .serversOf(service)
        .filter(
          ({ server }) =>
            server.softwareVersion === softwareVersion && server.state === ServerState.SERVING,
        ).length,
    isConfirmed: () => log.isConfirmed(readMonotonicNowMs()),
    isLeading: () => log.role === MemberRole.Leader && log.isConfirmed(readMonotonicNowMs()),
    readNowMs: readMonotonicNowMs,
    readWallMs: Date.now,
  });

export default createRolloutController;
