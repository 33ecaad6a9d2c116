/** The daemon of a control VM: replicated log, distribution and operator API. */
import { readFile } from 'node:fs/promises';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { ControlExchange } from '../../../connection/distribution/ControlExchange/index.js';
import type { ExchangePeer } from '../../../connection/distribution/ControlExchange/index.js';
import { DistributionHub } from '../../../connection/distribution/DistributionHub/index.js';
import { startRpcServer } from '../../../connection/startRpcServer/index.js';
import type { RpcServer, RpcServerOptions } from '../../../connection/startRpcServer/index.js';
import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { serveHttp } from '../../daemon/serveHttp/index.js';
import { openTls, reloadOnHangup } from '../../daemon/openTls/index.js';
import { createLogger } from '../../log/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import registerProcessMetrics from '../../metrics/registerProcessMetrics.js';
import { createOperatorApi } from '../../operatorApi/index.js';
import { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';
import readMonotonicNowMs from '../../replication/readMonotonicNowMs/index.js';
import type { ControlSettings } from '../../settings/index.js';
import { ProcessRole } from '../../tls/readIdentity/index.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';
import measureConvergence from '../_lib/measureConvergence.js';
import createMembershipActions from '../_lib/createMembershipActions.js';

const logger = createLogger('control');

/** A running control daemon. */
export interface ControlDaemon {
  /** `IP:port` of the listener for control peers and nodes. */
  listen: string;
  /** `IP:port` of the operator API. */
  operatorListen: string;
  /** Stops; nothing of a control daemon needs to drain. */
  drain: () => Promise<void>;
}

const openLog = async (
  settings: ControlSettings,
  metrics: MetricsRegistry,
  tls: TlsStore | undefined,
): Promise<Result<ReplicatedLog, DaemonError>> => {
  const opened = await ReplicatedLog.open(
    {
      memberId: settings.name,
      dataFolder: settings.dataFolder,
      initialMembers: settings.members.map(({ name, address }) => ({ memberId: name, address })),
    },
    {
      metrics,
      timings: settings.timing,
      ...(tls && { transport: { tls: () => tls.current(), peerRole: ProcessRole.Control } }),
    },
  );
  return opened.mapErr(
    (error) => new DaemonError(DaemonErrorCode.StorageFailed, error.message, error),
  );
};

const readToken = async (path: string): Promise<Result<string, DaemonError>> => {
  try {
    return ok((await readFile(path, 'utf8')).trim());
  } catch (error) {
    const message = `cannot read the operator token file ${path}`;
    return err(new DaemonError(DaemonErrorCode.TokenUnreadable, message, error));
  }
};

const listen = async (
  address: string,
  options: RpcServerOptions,
): Promise<Result<RpcServer, DaemonError>> => {
  try {
    return ok(await startRpcServer(address, options));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const message = `cannot listen on ${address}: ${reason}`;
    return err(new DaemonError(DaemonErrorCode.ListenFailed, message, error));
  }
};

/** Members of the log once it is known, those of the settings before. */
const listPeers = (settings: ControlSettings, log: ReplicatedLog): ExchangePeer[] => {
  const members = log.members(readMonotonicNowMs());
  const known =
    members.length > 0
      ? members
      : settings.members.map(({ name, address }) => ({ memberId: name, address }));
  return known
    .filter(({ memberId }) => memberId !== settings.name)
    .map(({ memberId, address }) => ({ memberId, address }));
};

/**
 * Starts the daemon of a control VM.
 *
 * @param settings - checked settings
 * @param nowMs - start time of the process in milliseconds since the epoch
 * @returns the running daemon; the error says which part could not start
 *
 * @example
 * const daemon = await startControl(settings, Date.now());
 */
export const startControl = async (
  settings: ControlSettings,
  nowMs: number,
): Promise<Result<ControlDaemon, DaemonError>> => {
  const token = await readToken(settings.operator.tokenFile);
  if (token.isErr()) return err(token.error);
  const openedTls = await openTls(settings, ProcessRole.Control, nowMs);
  if (openedTls.isErr()) return err(openedTls.error);
  const tls = openedTls.value;
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const opened = await openLog(settings, metrics, tls);
  if (opened.isErr()) return err(opened.error);
  const log = opened.value;
  const options = { metrics, now: readMonotonicNowMs, tls: () => tls?.current() };
  const hub = new DistributionHub(settings.name, log, options);
  const exchange = new ControlExchange(settings.name, hub, () => listPeers(settings, log), options);

  const rpc = await listen(settings.listen, {
    tls,
    routes: (router) => {
      log.register(router);
      hub.registerRoutes(router);
      exchange.registerRoutes(router);
    },
  });
  if (rpc.isErr()) {
    await log.stop();
    return err(rpc.error);
  }
  const api = createOperatorApi({
    log,
    readFleet: () => exchange.readFleet(),
    readReachable: () => [
      settings.name,
      ...exchange
        .readStatus()
        .filter(({ isReachable }) => isReachable)
        .map(({ memberId }) => memberId),
    ],
    records: () => hub.directory.records(),
    metrics,
    token: token.value,
    nowMs: readMonotonicNowMs,
    ...createMembershipActions(log),
  });
  const operator = await serveHttp(api, settings.operatorListen);
  if (operator.isErr()) {
    await rpc.value.close();
    await log.stop();
    return err(operator.error);
  }
  const stopReloading = reloadOnHangup(tls);
  metrics.gauge('nodes_attached', () => hub.sessionCount);
  metrics.gauge('configuration_version', () => log.committed()?.holder.version ?? 0);
  const stopMeasuring = measureConvergence(hub, log, metrics);
  log.start();
  hub.start();
  exchange.start();
  logger.info(
    { name: settings.name, listen: rpc.value.address, operatorListen: operator.value.address },
    'control daemon started',
  );
  const drain = async (): Promise<void> => {
    stopReloading();
    stopMeasuring();
    await operator.value.close();
    hub.stop();
    await exchange.stop();
    await log.stop();
    await rpc.value.close();
    logger.info({ name: settings.name }, 'control daemon stopped');
  };
  return ok({ listen: rpc.value.address, operatorListen: operator.value.address, drain });
};
