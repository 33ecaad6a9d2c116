import { logFinalError } from '../../log/index.js';

/** Component of the line. */
const COMPONENT = 'process';
/** Longer stacks are cut; their first lines tell where the error comes from. */
const MAX_REASON_LENGTH = 4_000;

const describe = (error: unknown): string =>
  String((error instanceof Error ? error.stack : undefined) ?? error).slice(0, MAX_REASON_LENGTH);

/**
 * Writes a log line before the process ends because of an exception or a rejection that nothing has caught.
 * The line holds the memory in use, so that its lack can be told from a fault. The process ends as without
 * it: the runtime writes the error to stderr and exits with code 1.
 */
const reportFatalErrors = (): void => {
  process.on('uncaughtExceptionMonitor', (error: unknown, origin) => {
    const { rss, heapUsed, heapTotal, external } = process.memoryUsage();
    const facts = {
      origin,
      reason: describe(error),
      residentBytes: rss,
      heapUsedBytes: heapUsed,
      heapTotalBytes: heapTotal,
      externalBytes: external,
      uptimeMs: Math.round(performance.now()),
    };
    logFinalError(COMPONENT, facts, 'process ends because of an error that nothing has caught');
  });
};

export default reportFatalErrors;
