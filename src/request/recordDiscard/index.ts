/** Log lines and counters for the bytes of backend servers that reach no caller. */
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';

import type { MetricsRegistry } from '../../process/metrics/index.js';

/** Limit on log lines; the counter has no limit. */
const LINES_PER_SECOND = 10;

const discardLog = createRateLimitedLogger('discards', LINES_PER_SECOND);

/** Why bytes of a server reached no caller. */
export enum DiscardReason {
  /** The response has the id of another request, or several ids. */
  AnotherId = 'ANOTHER_ID',
  /** The final response has no id. */
  NoId = 'NO_ID',
  /** The response has the id of the request, but no signature of a server, or several. */
  NoSignature = 'NO_SIGNATURE',
  /** Early hints do not have the id of the request. */
  ForeignHints = 'FOREIGN_HINTS',
  /** The bytes in place of a response, or within one, are not HTTP. */
  NotHttp = 'NOT_HTTP',
  /** The bytes came on a kept connection without a request, such as a second response. */
  NoRequest = 'NO_REQUEST',
}

/** Bytes that are discarded. */
export interface Discard {
  reason: DiscardReason;
  /** `host:port` of the server. */
  address: string;
  serverId?: string;
  /** Undefined for bytes that came without a request. */
  requestId?: string;
  statusCode?: number;
}

/**
 * Counts discarded bytes of a server, and logs them at a limited rate.
 *
 * @param metrics - registry with the counter `responses_discarded`
 * @param discard - why they are discarded, and where they come from
 * @param nowMs - current time in milliseconds
 */
const recordDiscard = (metrics: MetricsRegistry, discard: Discard, nowMs: number): void => {
  const counter = metrics.counter('responses_discarded', { reason: discard.reason });
  counter.value += 1;
  discardLog.info(nowMs, () => ({ ...discard }), 'bytes of a server discarded');
};

export default recordDiscard;
