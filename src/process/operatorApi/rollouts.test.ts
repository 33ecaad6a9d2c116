import { getRequestListener } from '@hono/node-server';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import tap from 'tap';
import type { Test } from 'tap';

import { FakeControlLog } from '../../../stand-ins/FakeControlLog/index.js';
import { ExitCode, runCommandLine } from '../cli/index.js';
import { LogLevel, setLogLevel } from '../log/index.js';
import { MetricsRegistry } from '../metrics/index.js';
import { RolloutOutcome } from '../rollouts/types.js';
import { createOperatorApi } from './index.js';

setLogLevel(LogLevel.Error);

const TOKEN = 'a secret of the operators';
const tokenFile = join(mkdtempSync(join(tmpdir(), 'foxtailvane-rollouts-')), 'token');
writeFileSync(tokenFile, TOKEN);

const createApp = (log: FakeControlLog, hasRollouts = true) =>
  createOperatorApi({
    log,
    readNodes: () => Promise.resolve([]),
    listNodeRecords: () => [],
    metrics: new MetricsRegistry(),
    token: TOKEN,
    nowMs: Date.now,
    hasRollouts,
  });

const order = (app: ReturnType<typeof createApp>, body: unknown, requestId = 'r-1') =>
  app.request('/v1/rollouts/desk', {
    method: 'POST',
    headers: { authorization: `Bearer ${TOKEN}`, 'foxtailvane-request-id': requestId },
    body: JSON.stringify(body),
  });

const ORDER = { targetVersion: 'v2', durationMs: 60_000 };

// Guards against an operator who repeats, or does not repeat, an order because of a wrong answer.
tap.test('each outcome of an order says whether it ran', async (t) => {
  const expected = [
    [RolloutOutcome.Accepted, 200, 'yes'],
    [RolloutOutcome.AlreadyAccepted, 200, 'yes'],
    [RolloutOutcome.InProgress, 409, 'no'],
    [RolloutOutcome.UnknownService, 422, 'no'],
    [RolloutOutcome.InvalidDuration, 422, 'no'],
    [RolloutOutcome.Unavailable, 503, 'no'],
    [RolloutOutcome.Unknown, 504, 'unknown'],
  ] as const;
  await Promise.all(
    expected.map(async ([outcome, status, ran]) => {
      const log = new FakeControlLog();
      log.rolloutResult = { outcome, message: 'why' };
      const response = await order(createApp(log), ORDER);
      t.equal(response.status, status, outcome);
      t.match(await response.json(), { outcome, ran, requestId: 'r-1', targetVersion: 'v2' });
    }),
  );
});

tap.test('orders that cannot be read are refused, and all where roll-outs are off', async (t) => {
  const log = new FakeControlLog();
  t.equal((await order(createApp(log), { targetVersion: 'v2' })).status, 400);
  t.equal((await order(createApp(log), { ...ORDER, durationMs: 0.5 })).status, 400);
  t.equal((await order(createApp(log), ORDER, '')).status, 400);
  t.equal((await order(createApp(log, false), ORDER)).status, 404);
  t.equal(log.proposedRollouts.length, 0);
});

const runCommand = async (t: Test, log: FakeControlLog, ...args: string[]) => {
  const handle = getRequestListener(createApp(log).fetch);
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const lines: string[] = [];
  const print = (line: string) => lines.push(line);
  const control = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const exitCode = await runCommandLine(
    ['rollout', ...args, '--control', control, '--token-file', tokenFile],
    { print, printError: print },
  );
  return { exitCode, output: lines.join('\n') };
};

tap.test('the command line orders, shows and lists roll-outs', async (t) => {
  const log = new FakeControlLog();
  const start = ['start', 'desk', '--target-version', 'v2', '--duration-ms', '60000'];
  const started = await runCommand(t, log, ...start, '--request-id', 'r-7');
  t.match(started, { exitCode: ExitCode.Done, output: /ACCEPTED/ });
  t.match(log.proposedRollouts, [{ service: 'desk', durationMs: 60_000, requestId: 'r-7' }]);
  t.match((await runCommand(t, log, 'status', 'desk')).output, /desk +v2 +CANARY +0%/);
  const listed = await runCommand(t, log, 'history', '--json');
  t.match(JSON.parse(listed.output), [{ id: 1, service: 'desk', stage: 'CANARY' }]);
  log.rolloutResult = { outcome: RolloutOutcome.InProgress, message: 'another is in progress' };
  t.match(await runCommand(t, log, ...start), {
    exitCode: ExitCode.Refused,
    output: /IN_PROGRESS: another is in progress/,
  });
  log.rolloutResult = { outcome: RolloutOutcome.Unknown, message: 'not known' };
  t.match(await runCommand(t, log, ...start), {
    exitCode: ExitCode.Unknown,
    output: /with --request-id .* is safe/,
  });
});
