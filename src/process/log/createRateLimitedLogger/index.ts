/** Rate-limited logging of events that can occur on every request. */
import { LogLevel, createLogger, isLogged } from '../index.js';
import type { LogContext } from '../index.js';

const MS_PER_SECOND = 1_000;

export interface RateLimitedLogger {
  /**
   * Writes a line unless the rate limit is exceeded.
   *
   * @param nowMs - current time in milliseconds
   * @param createContext - builds the fields; called only if the line is written
   */
  info: (nowMs: number, createContext: () => LogContext, message: string) => void;
}

/**
 * Creates a logger that writes a limited number of lines per second. The field `leftOutCount` is the
 * number of lines dropped since the previous one; totals are available from the metrics.
 *
 * @param component - name of the component, as for `createLogger`
 * @param linesPerSecond - sustained rate, and also the maximum burst in lines
 *
 * @example
 * const decisions = createRateLimitedLogger('routing', 20);
 * decisions.info(nowMs, () => ({ requestId }), 'request refused');
 */
export const createRateLimitedLogger = (
  component: string,
  linesPerSecond: number,
): RateLimitedLogger => {
  const logger = createLogger(component);
  let tokens = linesPerSecond;
  let refilledAtMs: number | undefined;
  let leftOutCount = 0;
  const tryAcquire = (nowMs: number): boolean => {
    const elapsedMs = Math.max(0, nowMs - (refilledAtMs ?? nowMs));
    refilledAtMs = nowMs;
    tokens = Math.min(linesPerSecond, tokens + (elapsedMs * linesPerSecond) / MS_PER_SECOND);
    if (tokens < 1) {
      leftOutCount += 1;
      return false;
    }
    tokens -= 1;
    return true;
  };
  return {
    info: (nowMs, createContext, message) => {
      if (!isLogged(LogLevel.Info) || !tryAcquire(nowMs)) return;
      const context = createContext();
      logger.info(leftOutCount > 0 ? { ...context, leftOutCount } : context, message);
      leftOutCount = 0;
    },
  };
};
