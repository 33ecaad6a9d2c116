import type { IncomingMessage } from 'node:http';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';
import type { LogContext } from '../../process/log/index.js';
import { formatAttempt } from './AttemptRecord.js';
import { RefusalReason } from './writeRefusal.js';

import type { CallError } from '../../connection/CallError/index.js';
import type { CallSummary } from '../../connection/UpstreamCall/index.js';
import type { RequestContext } from './RequestContext.js';
import type { RoutedRequest } from './routeRequest.js';
import type { Refusal, RequestOutcome } from './writeRefusal.js';

/** Limits on log lines; the counters in the metrics still cover every request. */
const ANSWERED_LINES_PER_SECOND = 3;
const NOT_SERVED_LINES_PER_SECOND = 30;

/** Details of a request that no server answered. */
export interface UnservedRequest {
  error: CallError | undefined;
  outcome: RequestOutcome;
  /** Number of servers of the service that accept requests. */
  liveServers: number;
}

const createLogContext = (routed: RoutedRequest): LogContext => ({
  requestId: routed.requestId,
  route: routed.route.name,
  service: routed.service,
  version: routed.version,
  tried: routed.attempts.map(formatAttempt),
  elapsedMs: Math.round(performance.now() - routed.exchange.startedAtMs),
});

/** Logs the requests of an entry node: one line for each request that ends, within a rate limit. */
export default class EntryLog {
  readonly #answeredLog = createRateLimitedLogger('entry', ANSWERED_LINES_PER_SECOND);

  readonly #notServedLog = createRateLimitedLogger('entry', NOT_SERVED_LINES_PER_SECOND);

  readonly #context: RequestContext;

  constructor(context: RequestContext) {
    this.#context = context;
  }

  logAnswered(routed: RoutedRequest, { statusCode, upstreamMs }: CallSummary): void {
    this.#answeredLog.info(
      this.#context.getNowMs(),
      () => ({ ...createLogContext(routed), statusCode, upstreamMs: Math.round(upstreamMs) }),
      'request answered',
    );
  }

  logNotServed(routed: RoutedRequest, { error, outcome, liveServers }: UnservedRequest): void {
    const { exchange, deadlineMs } = routed;
    const nowMs = this.#context.getNowMs();
    this.#notServedLog.info(
      nowMs,
      () => ({
        ...createLogContext(routed),
        outcome,
        reason: error?.message ?? RefusalReason.NoServer,
        code: error?.code ?? RefusalReason.NoServer,
        isCallerGone: exchange.isCallerGone,
        isPastDeadline: exchange.isPastDeadline,
        remainingMs: Math.round(deadlineMs - nowMs),
        liveServers,
        noFurtherAttempt: routed.noFurtherAttempt,
      }),
      'request not served',
    );
  }

  /** Logs a request that was refused before a server was chosen. */
  logRefused(request: IncomingMessage, { reason, statusCode, message }: Refusal): void {
    const { dialect, getNowMs, current } = this.#context;
    this.#notServedLog.info(
      getNowMs(),
      () => ({
        requestId: dialect.readCallerMetadata(request).requestId,
        version: current()?.version,
        statusCode,
        reason,
      }),
      message,
    );
  }
}
