import type { IncomingMessage } from 'node:http';
import { ATTEMPT_HEADER, DEADLINE_HEADER, parseCount } from './callHeader.js';
import { parseTarget } from './parseTarget.js';
import pickTarget from './pickTarget.js';
import { RefusalReason, createNotRun } from './writeRefusal.js';

import type { Route } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { Exchange } from './Exchange.js';
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
  /** Attempts that outer layers already made; such a request is not retried here. */
  outerAttempt: number;
}

/**
 * Finds the route, the service and the deadline of a request.
 *
 * @param exchange - the request
 * @param request - its head
 * @param options - node context and the id that the request gets
 * @returns the routed request, or why it was refused
 */
export const routeRequest = (
  exchange: Exchange,
  request: IncomingMessage,
  options: { context: RequestContext; requestId: string },
): RoutedRequest | Refusal => {
  const { context, requestId } = options;
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
    return createNotRun(RefusalReason.NoRoute, message, { statusCode: 404 });
  }
  const service = pickTarget(route, context.random());
  const timeoutMs =
    route.timeoutMs || compiled.findService(service)?.timeoutMs || DEFAULT_TIMEOUT_MS;
  const callerMs = parseCount(exchange.internal.get(DEADLINE_HEADER)) ?? timeoutMs;
  return {
    exchange,
    requestId,
    version: compiled.version,
    route,
    service,
    host: target.host,
    path: target.pathWithQuery,
    deadlineMs: context.getNowMs() + Math.min(timeoutMs, callerMs),
    outerAttempt: parseCount(exchange.internal.get(ATTEMPT_HEADER)) ?? 0,
  };
};
