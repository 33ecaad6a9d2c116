import type { IncomingMessage } from 'node:http';
import { ATTEMPT_HEADER, parseCount } from './callHeader.js';
import { parseTarget } from './parseTarget.js';
import { RefusalReason, createNotRun } from './writeRefusal.js';

import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { Exchange } from './Exchange.js';
import type TrafficSplit from '../splitTraffic/index.js';
import type ObjectiveEstimator from '../trackObjectives/index.js';
import type { RequestContext } from './RequestContext.js';
import type { Refusal } from './writeRefusal.js';

const DEFAULT_TIMEOUT_MS = 30_000;

/** One request on its way to a server; keeps the configuration version that it started with. */
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
  /** Time up to which a response is of full use; undefined when the route has no such time. */
  objectiveAtMs: number | undefined;
  /** Whether the caller was probably refused before; its second refusal would be its last. */
  isReturn: boolean;
  /** Attempts that outer layers already made; such a request is not retried here. */
  outerAttempt: number;
  /** Servers tried so far, each with how the attempt ended. */
  trail: string[];
}

/**
 * Finds the route, the service and the deadline of a request.
 *
 * @param exchange - the request
 * @param request - its head
 * @param options - node context, the state that routes share, and the id that the request gets
 *   unless the caller gave it one
 * @returns the routed request, or why it was refused
 */
export const routeRequest = (
  exchange: Exchange,
  request: IncomingMessage,
  options: {
    context: RequestContext;
    split: TrafficSplit;
    objectives: ObjectiveEstimator;
    requestId: string;
  },
): RoutedRequest | Refusal => {
  const { context } = options;
  const caller = context.dialect.readCallerMetadata(request);
  const compiled = context.current();
  if (!compiled) {
    return createNotRun(RefusalReason.NoConfiguration, 'this node holds no configuration yet');
  }
  const target = parseTarget(request);
  if (!target) {
    const message = 'request target or host is malformed';
    return createNotRun(RefusalReason.BadRequest, message, { statusCode: 400 });
  }
  const route = compiled.matchRoute(target.host, target.path, exchange.method);
  if (!route) {
    const message = `no route for ${exchange.method} ${target.host} ${target.path}`;
    if (!context.isCurrent()) return createNotRun(RefusalReason.VersionUnconfirmed, message);
    return createNotRun(RefusalReason.NoRoute, message, { statusCode: 404 });
  }
  const limitBytes = compiled.configuration.limits?.maxBodyBytes ?? 0;
  if (limitBytes > 0 && Number(request.headers['content-length'] ?? 0) > limitBytes) {
    const message = `the body is longer than ${limitBytes} bytes`;
    return createNotRun(RefusalReason.BodyTooLarge, message, { statusCode: 413 });
  }
  const service = options.split.next(route);
  if (service === undefined) {
    const message = `route ${route.name} sends no traffic to any service`;
    return createNotRun(RefusalReason.NoServer, message);
  }
  const timeoutMs =
    route.timeoutMs || compiled.findService(service)?.timeoutMs || DEFAULT_TIMEOUT_MS;
  const callerMs = caller.remainingMs ?? timeoutMs;
  const nowMs = context.getNowMs();
  const objective = options.objectives.estimate(route, callerMs, nowMs);
  return {
    exchange,
    requestId: caller.requestId ?? options.requestId,
    version: compiled.version,
    route,
    service,
    host: target.host,
    path: target.pathWithQuery,
    deadlineMs: nowMs + Math.min(timeoutMs, callerMs),
    objectiveAtMs: objective.endsAtMs,
    isReturn: objective.isReturn,
    trail: [],
    outerAttempt: parseCount(exchange.internal.get(ATTEMPT_HEADER)) ?? 0,
  };
};
