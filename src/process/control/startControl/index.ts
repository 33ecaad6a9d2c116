/** Starts the daemon of a control VM: replicated log, distribution and operator API. */
import { readFile } from 'node:fs/promises';

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { DaemonError, DaemonErrorCode } from '../../daemon/DaemonError/index.js';
import { serveHttp } from '../../daemon/serveHttp/index.js';
import { openTls, reloadOnHangup } from '../../daemon/openTls/index.js';
import { createLogger } from '../../log/index.js';
import { createOperatorApi } from '../../operatorApi/index.js';
import readMonotonicNowMs from '../../replication/readMonotonicNowMs/index.js';
import type { ControlSettings } from '../../settings/index.js';
import type { TlsStore } from '../../tls/TlsStore/index.js';
import { ProcessRole } from '../../tls/readIdentity/index.js';
import KeptControl from '../KeptControl/index.js';
import type { ControlInstance } from '../KeptControl/index.js';
import createMembershipActions from '../_lib/createMembershipActions.js';
import { openControl } from '../openControl/index.js';

const logger = createLogger('control');

/** A running control daemon. */
export interface ControlDaemon {
  /** `IP:port` of the listener for control peers and nodes. */
  listen: string;
  /** `IP:port` of the operator API. */
  operatorListen: string;
  /** Stops the daemon at once; a control daemon has nothing to drain. */
  drain: () => Promise<void>;
}

const readToken = async (path: string): Promise<Result<string, DaemonError>> => {
  try {
    return ok((await readFile(path, 'utf8')).trim());
  } catch (error) {
    const message = `cannot read the operator token file ${path}`;
    return err(new DaemonError(DaemonErrorCode.TokenUnreadable, message, error));
  }
};

/** A control VM with its operator API. */
interface ServedControl extends ControlInstance {
  listen: string;
  operatorListen: string;
}

/** Opens the control VM and serves its operator API. */
const serve = async (
  settings: ControlSettings,
  { token, tls }: { token: string; tls: TlsStore | undefined },
): Promise<Result<ServedControl, DaemonError>> => {
  const opened = await openControl({
    log: {
      memberId: settings.name,
      dataCentre: settings.dataCentre,
      dataFolder: settings.dataFolder,
      initialMembers: settings.members.map(({ name, address, dataCentre }) => ({
        memberId: name,
        address,
        dataCentre,
      })),
    },
    listen: settings.listen,
    tls,
    timings: settings.timing,
    rollouts: settings.rollouts,
    // Nodes that are cut off go on to accept keys.
    ...(settings.quotas && { quotas: { bounds: settings.quotas, keyLifetimeMs: Infinity } }),
  });
  if (opened.isErr()) return err(opened.error);
  const { metrics, log, hub, exchange, shareSource } = opened.value;
  const api = createOperatorApi({
    log,
    readNodes: () => exchange.readNodeStatuses(),
    listReachableMembers: () => [
      settings.name,
      ...exchange
        .readStatus()
        .filter(({ isReachable }) => isReachable)
        .map(({ memberId }) => memberId),
    ],
    listWorkspaces: () => shareSource?.list() ?? [],
    listNodeRecords: () => hub.directory.records(),
    metrics,
    token,
    nowMs: readMonotonicNowMs,
    hasRollouts: settings.rollouts !== undefined,
    ...createMembershipActions(log),
  });
  const operatorListener = await serveHttp(api, settings.operatorListen);
  if (operatorListener.isErr()) {
    await opened.value.close();
    return err(operatorListener.error);
  }
  opened.value.start();
  logger.info(
    {
      name: settings.name,
      listen: opened.value.listen,
      operatorListen: operatorListener.value.address,
    },
    'control daemon started',
  );
  return ok({
    listen: opened.value.listen,
    operatorListen: operatorListener.value.address,
    hasFailed: () => log.hasFailed,
    close: async () => {
      await operatorListener.value.close();
      await opened.value.close();
    },
  });
};

/**
 * Starts the daemon of a control VM.
 *
 * @param settings - validated settings
 * @param nowMs - start time of the process in milliseconds since the epoch
 * @returns the running daemon; TokenUnreadable, TlsInvalid, StorageFailed or ListenFailed otherwise
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
  const secrets = { token: token.value, tls };
  let addresses = { listen: settings.listen, operatorListen: settings.operatorListen };
  const opened = await KeptControl.open(settings.dataFolder, async () => {
    const served = await serve({ ...settings, ...addresses }, secrets);
    // A port that the system has assigned is kept when the control VM is reopened.
    addresses = served
      .map(({ listen, operatorListen }) => ({ listen, operatorListen }))
      .unwrapOr(addresses);
    return served;
  });
  if (opened.isErr()) return err(opened.error);
  const kept = opened.value;
  const stopReloading = reloadOnHangup(tls);
  const drain = async (): Promise<void> => {
    stopReloading();
    await kept.close();
    logger.info({ name: settings.name }, 'control daemon stopped');
  };
  const { listen, operatorListen } = kept.current;
  return ok({ listen, operatorListen, drain });
};
