import { readFileSync, renameSync } from 'node:fs';
import { join } from 'node:path';

import tap from 'tap';

import {
  LogLevel,
  closeLog,
  configureLog,
  countDroppedLines,
  createLogger,
  isLogged,
  setLogLevel,
} from './index.js';

interface Line {
  context: Record<string, unknown>;
  message: string;
}

const readLines = (path: string): Line[] =>
  readFileSync(path, 'utf8')
    .trim()
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Line);

tap.afterEach(() => closeLog());

tap.test(
  'nothing is written before the destination is set, so commands keep stdout clean',
  async (t) => {
    t.equal(isLogged(LogLevel.Error), false);
    createLogger('early').error({}, 'not written');
    const path = join(t.testdir(), 'log');
    await configureLog({ level: LogLevel.Info, destination: path });
    await closeLog();
    t.strictSame(readLines(path), []);
  },
);

tap.test('lines at or above the level reach the file with component and fields', async (t) => {
  const path = join(t.testdir(), 'log');
  const logger = createLogger('routing');
  await configureLog({ level: LogLevel.Info, destination: path });
  logger.debug({}, 'below the level');
  logger.info({ version: 3, reason: 'NO_SERVER' }, 'request refused');
  setLogLevel(LogLevel.Error);
  logger.warn({}, 'below the raised level');
  await closeLog();
  t.match(readLines(path), [
    { context: { component: 'routing', version: 3, reason: 'NO_SERVER', logLevel: 30 } },
  ]);
});

tap.test('values of fields named like a secret are hidden', async (t) => {
  const path = join(t.testdir(), 'log');
  await configureLog({ level: LogLevel.Info, destination: path });
  createLogger('api').info(
    { operatorToken: 'abc', Authorization: 'Bearer abc', tlsPrivateKey: 'abc', path: '/abc' },
    'request',
  );
  await closeLog();
  t.match(readLines(path), [{ context: { operatorToken: '[hidden]', path: '/abc' } }]);
  t.notMatch(readFileSync(path, 'utf8'), /"abc|Bearer/);
});

tap.test('configuring again reopens the file after a rotation', async (t) => {
  const path = join(t.testdir(), 'log');
  const logger = createLogger('rotation');
  await configureLog({ level: LogLevel.Info, destination: path });
  logger.info({}, 'first');
  renameSync(path, `${path}.1`);
  await configureLog({ level: LogLevel.Info, destination: path });
  logger.info({}, 'second');
  await closeLog();
  t.match(readLines(`${path}.1`), [{ message: 'first' }]);
  t.match(readLines(path), [{ message: 'second' }]);
});

tap.test('a destination that fails loses lines and is counted, but ends nothing', async (t) => {
  const before = countDroppedLines();
  const path = join(t.testdir(), 'absent', 'log');
  const logger = createLogger('failing');
  await configureLog({ level: LogLevel.Info, destination: path });
  logger.info({}, 'lost');
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  logger.info({}, 'lost as well');
  t.ok(countDroppedLines() > before);
  await closeLog();
});

tap.test('a destination that does not keep up bounds the memory', async (t) => {
  const path = join(t.testdir(), 'log');
  const before = countDroppedLines();
  const logger = createLogger('flood');
  await configureLog({ level: LogLevel.Info, destination: path });
  // Nothing is written to the file within one turn of the event loop.
  Array.from({ length: 3_000 }).forEach(() => logger.info({}, 'x'.repeat(1_000)));
  t.ok(countDroppedLines() > before);
  await closeLog();
  t.ok(readLines(path).length > 500);
});
