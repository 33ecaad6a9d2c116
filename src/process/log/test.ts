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

tap.test('nothing is written to stdout before the destination is configured', async (t) => {
  t.equal(isLogged(LogLevel.Error), false);
  createLogger('early').error({}, 'not written');
  const path = join(t.testdir(), 'log');
  await configureLog({ level: LogLevel.Info, destination: path });
  await closeLog();
  t.strictSame(readLines(path), []);
});

tap.test('lines at or above the level are written with component and fields', async (t) => {
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

tap.test('values of fields named like a secret are redacted', async (t) => {
  const path = join(t.testdir(), 'log');
  await configureLog({ level: LogLevel.Info, destination: path });
  createLogger('api').info(
    {
      operatorToken: 'abc',
      Authorization: 'Bearer abc',
      tlsPrivateKey: 'abc',
      api_keys: 'abc',
      path: '/abc',
    },
    'request',
  );
  await closeLog();
  t.match(readLines(path), [{ context: { operatorToken: '[hidden]', path: '/abc' } }]);
  t.notMatch(readFileSync(path, 'utf8'), /"abc|Bearer/);
});

tap.test('configureLog reopens the file after a rotation', async (t) => {
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

tap.test('a failing destination drops and counts lines without ending the process', async (t) => {
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

tap.test('lines are dropped when a slow destination fills the buffer', async (t) => {
  const path = join(t.testdir(), 'log');
  const before = countDroppedLines();
  const logger = createLogger('flood');
  await configureLog({ level: LogLevel.Info, destination: path });
  // Within one turn of the event loop nothing is flushed to the file.
  Array.from({ length: 3_000 }).forEach(() => logger.info({}, 'x'.repeat(1_000)));
  t.ok(countDroppedLines() > before);
  await closeLog();
  t.ok(readLines(path).length > 500);
});
