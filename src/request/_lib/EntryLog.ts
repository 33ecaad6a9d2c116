/** Log lines of an entry node: one for each request that ends. */
import type { IncomingMessage } from 'node:http';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import type { LogContext } from '../../process/log/index.js';
import { RefusalReason } from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { RequestContext } from './RequestContext.js';
import type { RoutedRequest } from './routeRequest.js';
import type { Refusal, RequestOutcome } from './writeRefusal.js';

/** Lines about requests; the counters hold all of them. */
const ANSWERED_LINES_PER_SECOND = 3;
const NOT_SERVED_LINES_PER_SECOND = 30;

/** How a request ended that no server answered. */
export interface NotServed {
  error: CallError | undefined;
  outcome: RequestOutcome;
  /** Servers of the service that take requests. */
  liveServers: number;
}

const describeRequest = (routed: RoutedRequest): LogContext => ({
  requestId: routed.requestId,
  route: routed.route.name,
  service: routed.service,
  version: routed.version,
  tried: routed.trail,
  elapsedMs: Math.round(performance.now() - routed.exchange.startedAtMs),
});

export default class EntryLog {
  readonly #answered = createRateLimitedLogger('entry', ANSWERED_LINES_PER_SECOND);

  readonly #notServed = createRateLimitedLogger('entry', NOT_SERVED_LINES_PER_SECOND);

  readonly #context: RequestContext;

  constructor(context: RequestContext) {
    this.#context = context;
  }

  logAnswered(routed: RoutedRequest, { statusCode, upstreamMs }: CallSummary): void {
    this.#answered.info(
      this.#context.getNowMs(),
      () => ({ ...describeRequest(routed), statusCode, upstreamMs: Math.round(upstreamMs) }),
      'request answered',
    );
  }

  logNotServed(routed: RoutedRequest, { error, outcome, liveServers }: NotServed): void {
    const { exchange, deadlineMs } = routed;
    const nowMs = this.#context.getNowMs();
    this.#notServed.info(
      nowMs,
      () => ({
        ...describeRequest(routed),
        outcome,
        reason: error?.message ?? RefusalReason.NoServer,
        code: error?.code ?? RefusalReason.NoServer,
        isCallerGone: exchange.isCallerGone,
        isPastDeadline: exchange.isPastDeadline,
        remainingMs: Math.round(deadlineMs - nowMs),
        liveServers,
      }),
      'request not served',
    );
  }

  /** Logs a request that was refused before a server was chosen. */
  logRefused(request: IncomingMessage, { reason, statusCode, message }: Refusal): void {
    const { dialect, getNowMs, current } = this.#context;
    this.#notServed.info(
      getNowMs(),
      () => ({
        requestId: dialect.readCaller(request).requestId,
        version: current()?.version,
        statusCode,
        reason,
      }),
      message,
    );
  }
}
