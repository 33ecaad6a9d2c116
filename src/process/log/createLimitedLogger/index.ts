/** A logger for decisions that are as frequent as requests. */
import { LogLevel, createLogger, isLogged } from '../index.js';
import type { LogContext } from '../index.js';

const MS_PER_SECOND = 1_000;

export interface LimitedLogger {
  /**
   * Writes a line unless too many were written lately.
   *
   * @param nowMs - present time in milliseconds
   * @param createContext - called only when the line is written
   */
  info: (nowMs: number, createContext: () => LogContext, message: string) => void;
}

/**
 * Creates a logger that writes a bounded number of lines per second. A line tells how many were left
 * out before it; counters hold the whole numbers.
 *
 * @param component - as of `createLogger`
 * @param linesPerSecond - also the number of lines that may follow each other at once
 *
 * @example
 * const decisions = createLimitedLogger('routing', 20);
 * decisions.info(nowMs, () => ({ requestId }), 'request refused');
 */
export const createLimitedLogger = (component: string, linesPerSecond: number): LimitedLogger => {
  const logger = createLogger(component);
  let tokens = linesPerSecond;
  let filledAtMs: number | undefined;
  let leftOutCount = 0;
  const take = (nowMs: number): boolean => {
    const elapsedMs = Math.max(0, nowMs - (filledAtMs ?? nowMs));
    filledAtMs = nowMs;
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
      if (!isLogged(LogLevel.Info) || !take(nowMs)) return;
      const context = createContext();
      logger.info(leftOutCount > 0 ? { ...context, leftOutCount } : context, message);
      leftOutCount = 0;
    },
  };
};
