import { PassThrough } from 'node:stream';
import tap from 'tap';

import { closeLog, configureLog, LogLevel } from '../index.js';
import { createRateLimitedLogger } from './index.js';

/** Captures the log lines written to standard output while `run` is executed. */
const capture = async (run: () => void): Promise<string[]> => {
  const stream = new PassThrough();
  const write = process.stdout.write.bind(process.stdout);
  const lines: string[] = [];
  process.stdout.write = (chunk: string) => {
    lines.push(
      ...String(chunk)
        .split('\n')
        .filter((line) => line.startsWith('{')),
    );
    return stream.write(chunk);
  };
  try {
    await configureLog({ level: LogLevel.Info, destination: 'stdout' });
    run();
  } finally {
    process.stdout.write = write;
    await closeLog();
  }
  return lines;
};

// Guards against logging that uses more CPU time than the requests it describes.
tap.test('a burst is limited, and the next line has the number of dropped lines', async (t) => {
  const decisions = createRateLimitedLogger('test', 10);
  let created = 0;
  const log = (nowMs: number): void =>
    decisions.info(
      nowMs,
      () => {
        created += 1;
        return { requestId: 'r1' };
      },
      'refused',
    );
  const lines = await capture(() => {
    Array.from({ length: 100 }).forEach(() => log(5_000));
    log(5_100);
  });
  t.equal(created, 11, 'contexts of dropped lines are not built');
  t.equal(lines.length, 11);
  t.equal(JSON.parse(lines[10] ?? '{}').context.leftOutCount, 90);
});
