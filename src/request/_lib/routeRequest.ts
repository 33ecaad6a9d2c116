import type { IncomingMessage } from 'node:http';
import { admitKey } from '../admitKey/index.js';
import computePriority from '../computePriority/index.js';
import { ATTEMPT_HEADER, parseCount } from './internalHeaders.js';
import { parseTarget } from './parseTarget.js';
import { RefusalReason, createNotRunRefusal } from './writeRefusal.js';

import type { Route, Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { AttemptRecord, NoFurtherAttempt } from './AttemptRecord.js';
import type { Exchange } from './Exchange.js';
import type TrafficSplit from '../splitTraffic/index.js';
import type ObjectiveEstimator from '../trackObjectives/index.js';
import type { RequestContext } from './RequestContext.js';
import type { Refusal } from './writeRefusal.js';

const DEFAULT_TIMEOUT_MS = 30_000;

/** A request with its route; uses one configuration version from start to end. */
export interface RoutedRequest {
  exchange: Exchange;
  requestId: string;
  version: number;
  route: Route;
  service: string;
  host: string;
  /** Path with query. */
  path: string;
  /** In milliseconds since the epoch. */
  deadlineMs: number;
  /** Latest time for a response within the target latency; undefined when the route has none. */
  objectiveAtMs: number | undefined;
  /** Whether the request probably repeats a refused one; callers give up after a second refusal. */
  isReturn: boolean;
  /** 0 is the most urgent. */
  priority: number;
  /** Workspace that sends the request; undefined on routes that need no key. */
  workspace?: Workspace;
  /** Key of the workspace, as other nodes know it. */
  keyId?: string;
  /** Attempts already made by outer layers; a request with any is not retried here. */
  outerAttempt: number;
  /** The only node that may run the request, as a trial after crashes; any node if undefined. */
  trialNodeId?: string | undefined;
  attempts: AttemptRecord[];
  /** Why the last attempt was not followed by another one; undefined while it may be. */
  noFurtherAttempt?: NoFurtherAttempt;
}

/**
 * Determines the route, the service and the deadline of a request.
 *
 * @param exchange - exchange of the request
 * @param request - incoming request; only its head is read
 * @param options - node context, traffic split and objectives of all requests, the request id to use if
 *   the caller sent none, and when the request was received
 * @returns the routed request, or the refusal to answer it with
 */
export const routeRequest = (
  exchange: Exchange,
  request: IncomingMessage,
  options: {
    context: RequestContext;
    split: TrafficSplit;
    objectives: ObjectiveEstimator;
    requestId: string;
    /** In milliseconds since the epoch. */
    receivedAtMs: number;
  },
): RoutedRequest | Refusal => {
  const { context, receivedAtMs } = options;
  const caller = context.dialect.readCallerMetadata(request);
  const compiled = context.current();
  if (!compiled) {
    return createNotRunRefusal(
      RefusalReason.NoConfiguration,
      'this node has no configuration in force',
    );
  }
  const target = parseTarget(request);
  if (!target) {
    const message = 'the request target or the Host header is malformed';
    return createNotRunRefusal(RefusalReason.BadRequest, message, { statusCode: 400 });
  }
  const route = compiled.matchRoute(target.host, target.path, exchange.method);
  if (!route) {
    const message = `no route matches ${exchange.method} ${target.host} ${target.path}`;
    if (!context.isCurrent()) return createNotRunRefusal(RefusalReason.VersionUnconfirmed, message);
    return createNotRunRefusal(RefusalReason.NoRoute, message, { statusCode: 404 });
  }
  const admitted = admitKey(() => context.dialect.readCallerKey(request), {
    compiled,
    route,
    isCurrent: context.isCurrent,
    readKeyProofLeftMs: context.readKeyProofLeftMs,
  });
  if (admitted && 'reason' in admitted) return admitted;
  if (compiled.needsKeys) exchange.dropHeaders(context.dialect.workspaceHeaders);
  const limitBytes = compiled.configuration.limits?.maxBodyBytes ?? 0;
  if (limitBytes > 0 && Number(request.headers['content-length'] ?? 0) > limitBytes) {
    const message = `the request body exceeds the limit of ${limitBytes} bytes`;
    return createNotRunRefusal(RefusalReason.BodyTooLarge, message, { statusCode: 413 });
  }
  const service = options.split.next(route);
  if (service === undefined) {
    const message = `route ${route.name} has no target service with a positive weight`;
    return createNotRunRefusal(RefusalReason.NoServer, message);
  }
  const timeoutMs =
    route.timeoutMs || compiled.findService(service)?.timeoutMs || DEFAULT_TIMEOUT_MS;
  const callerRemainingMs = caller.remainingMs ?? timeoutMs;
  const objective = options.objectives.estimate(route, callerRemainingMs, receivedAtMs);
  return {
    exchange,
    requestId: caller.requestId ?? options.requestId,
    version: compiled.version,
    route,
    service,
    host: target.host,
    path: target.pathWithQuery,
    deadlineMs: receivedAtMs + Math.min(timeoutMs, callerRemainingMs),
    objectiveAtMs: objective.endsAtMs,
    isReturn: objective.isReturn,
    priority: computePriority(route, admitted?.workspace),
    ...admitted,
    attempts: [],
    outerAttempt: parseCount(exchange.internalHeaders.get(ATTEMPT_HEADER)) ?? 0,
  };
};
