/** Opens the components of a control daemon, except the operator API. */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { ControlExchange } from '../../../connection/distribution/ControlExchange/index.js';
import type { ExchangePeer } from '../../../connection/distribution/ControlExchange/index.js';
import { DistributionHub } from '../../../connection/distribution/DistributionHub/index.js';
import type { HubOptions } from '../../../connection/distribution/DistributionHub/index.js';
import type { ControlTarget } from '../../../connection/distribution/NodeLink/index.js';
import { startRpcServer } from '../../../connection/startRpcServer/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import registerProcessMetrics from '../../metrics/registerProcessMetrics.js';
import type { RolloutLimits } from '../../rollouts/decideRollout/index.js';
import { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';
import type {
  ReplicatedLogOptions,
  ReplicatedLogSettings,
} from '../../replication/ReplicatedLog/index.js';
import createShareSource from '../../quotas/createShareSource/index.js';
import type { ShareSource, ShareSourceOptions } from '../../quotas/createShareSource/index.js';
import readMonotonicNowMs from '../../replication/readMonotonicNowMs/index.js';
import { ProcessRole } from '../../tls/readIdentity/index.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';
import { TrafficReportTable } from '../../trafficReports/TrafficReportTable/index.js';
import createRolloutController from '../_lib/createRolloutController.js';
import measureConvergence from '../_lib/measureConvergence.js';

export interface OpenControlOptions {
  log: ReplicatedLogSettings;
  /** `IP:port` for control peers and nodes. */
  listen: string;
  tls?: TlsStore | undefined;
  timings?: ReplicatedLogOptions['timings'];
  limits?: ReplicatedLogOptions['limits'];
  /** Timing and window of the streams to nodes and to other control VMs. */
  streams?: Pick<HubOptions, 'heartbeatIntervalMs' | 'silenceMs' | 'windowMs'>;
  /** Bounds of the quotas of workspaces; without them, nodes get no shares. */
  quotas?: Pick<ShareSourceOptions, 'bounds' | 'keyLifetimeMs'> | undefined;
  /** Limits of roll-outs; without them no roll-out is observed, decided or sent to nodes. */
  rollouts?: RolloutLimits | undefined;
  /** Adds the parts that send roll-outs and shares of quotas to nodes; none by default. */
  createSources?: (
    log: ReplicatedLog,
    trafficReports: TrafficReportTable,
  ) => Pick<HubOptions, 'readRollouts' | 'computeShares'>;
}

/** The components of an open control VM. */
export interface OpenedControl {
  /** `IP:port` that was bound. */
  listen: string;
  metrics: MetricsRegistry;
  log: ReplicatedLog;
  hub: DistributionHub;
  exchange: ControlExchange;
  /** Undefined without quotas. */
  shareSource: ShareSource | undefined;
  /** Starts elections, distribution and the exchange with other control VMs. */
  start: () => void;
  close: () => Promise<void>;
}

/** Lists the other members of the log, or those of the settings while the log has none. */
const listPeers = ({ memberId, initialMembers }: ReplicatedLogSettings, log: ReplicatedLog) => {
  const members = log.members(readMonotonicNowMs());
  const known: ExchangePeer[] = members.length > 0 ? members : initialMembers;
  return known
    .filter((peer) => peer.memberId !== memberId)
    .map((peer) => ({ memberId: peer.memberId, address: peer.address }));
};

const listControls = (log: ReplicatedLog): ControlTarget[] =>
  log.members(readMonotonicNowMs()).map(({ address, dataCentre }) => ({ address, dataCentre }));

/**
 * Returns the roll-outs for nodes; undefined while this control VM may not have read its log, so that
 * a node does not take an empty set for the state.
 */
const readRollouts = (log: ReplicatedLog): RolloutSet | undefined => {
  const set = log.rollouts();
  return set.revision > 0 || log.isConfirmed(readMonotonicNowMs()) ? set : undefined;
};

const openLog = async (
  options: OpenControlOptions,
  metrics: MetricsRegistry,
): Promise<Result<ReplicatedLog, DaemonError>> => {
  const { tls, timings, limits } = options;
  const opened = await ReplicatedLog.open(options.log, {
    metrics,
    ...(timings && { timings }),
    ...(limits && { limits }),
    ...(tls && { transport: { tls: () => tls.current(), peerRole: ProcessRole.Control } }),
  });
  return opened.mapErr(
    (error) => new DaemonError(DaemonErrorCode.StorageFailed, error.message, error),
  );
};

/**
 * Opens the components of a control VM and binds its listener for control peers and nodes.
 *
 * @param options - data folder, members and addresses
 * @returns the components; StorageFailed when the data folder can't be opened, ListenFailed when the
 *   address can't be bound
 *
 * @example
 * const control = await openControl(options);
 * control.map(({ start }) => start());
 */
export const openControl = async (
  options: OpenControlOptions,
): Promise<Result<OpenedControl, DaemonError>> => {
  const { tls } = options;
  const { memberId } = options.log;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const opened = await openLog(options, metrics);
  if (opened.isErr()) return err(opened.error);
  const log = opened.value;
  const shared = {
    metrics,
    now: readMonotonicNowMs,
    tls: () => tls?.current(),
    ...options.streams,
  };
  const trafficReports = new TrafficReportTable();
  const { quotas } = options;
  const shareSource =
    quotas && createShareSource({ ...quotas, memberId, controlLog: log, trafficReports, metrics });
  const hub = new DistributionHub(memberId, log, {
    ...shared,
    listControls: () => listControls(log),
    trafficReports,
    ...(shareSource && { computeShares: shareSource.computeShares }),
    ...(options.rollouts && { readRollouts: () => readRollouts(log) }),
    ...options.createSources?.(log, trafficReports),
  });
  const rollouts = options.rollouts && createRolloutController(log, hub, options.rollouts, metrics);
  if (rollouts) log.onRolloutsChanged(() => hub.wakeSessions());
  const exchange = new ControlExchange(memberId, hub, () => listPeers(options.log, log), shared);
  try {
    const rpc = await startRpcServer(options.listen, {
      tls,
      routes: (router) => {
        log.register(router);
        hub.registerRoutes(router);
        exchange.registerRoutes(router);
      },
    });
    metrics.gauge('nodes_attached', () => hub.sessionCount);
    metrics.gauge('configuration_version', () => log.committed()?.holder.version ?? 0);
    const stopMeasuring = measureConvergence(hub, log, metrics);
    const start = (): void => {
      log.start();
      hub.start();
      exchange.start();
      rollouts?.start();
    };
    const close = async (): Promise<void> => {
      stopMeasuring();
      rollouts?.stop();
      hub.stop();
      await exchange.stop();
      await log.stop();
      await rpc.close();
    };
    return ok({ listen: rpc.address, metrics, log, hub, exchange, shareSource, start, close });
  } catch (error) {
    await log.stop();
    const reason = error instanceof Error ? error.message : String(error);
    const message = `cannot listen on ${options.listen}: ${reason}`;
    return err(new DaemonError(DaemonErrorCode.ListenFailed, message, error));
  }
};
