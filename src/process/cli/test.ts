/** Tests the command line, mostly as a separate process, as operators run it. */
import { execFile } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { getRequestListener } from '@hono/node-server';
import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { Test } from 'tap';

import type { AddressInfo } from 'node:net';
import type { RequestListener, Server } from 'node:http';
import { NodeRecordSchema, ServerState } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { FAKE_HOLDER, FakeControlLog } from '../../../stand-ins/FakeControlLog/index.js';
import { SheetColumn, parseSheet } from '../../version/parseSheet/index.js';
import { LogLevel, setLogLevel } from '../log/index.js';
import { MetricsRegistry } from '../metrics/index.js';
import { createOperatorApi } from '../operatorApi/index.js';
import { ApplyOutcome } from '../replication/ControlLog/index.js';
import { ExitCode, runCommandLine } from './index.js';

setLogLevel(LogLevel.Error);

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));
const TOKEN = 'token-that-must-not-be-printed';
const SHEET = `${Object.values(SheetColumn).join(',')}\nservice,order-desk,,,,,,,500,,20,130\n`;

const folder = mkdtempSync(join(tmpdir(), 'foxtailvane-cli-'));

const write = (name: string, content: string): string => {
  const path = join(folder, name);
  writeFileSync(path, content);
  return path;
};

const tokenFile = write('token', `${TOKEN}\n`);
const sheetFile = write('sheet.csv', SHEET);

interface Outcome {
  exitCode: number;
  stdout: string;
  stderr: string;
}

const run = (...args: string[]): Promise<Outcome> =>
  new Promise((resolve) => {
    const child = execFile(process.execPath, [MAIN, ...args], (_error, stdout, stderr) => {
      resolve({ exitCode: child.exitCode ?? -1, stdout, stderr });
    });
  });

/** Runs a command in this process, for tests that do not depend on process exit. */
const runInProcess = async (...args: string[]): Promise<Outcome> => {
  const lines: Record<'stdout' | 'stderr', string[]> = { stdout: [], stderr: [] };
  const exitCode = await runCommandLine(args, {
    print: (line) => lines.stdout.push(`${line}\n`),
    printError: (line) => lines.stderr.push(`${line}\n`),
  });
  return { exitCode, stdout: lines.stdout.join(''), stderr: lines.stderr.join('') };
};

const listen = async (t: Test, listener: RequestListener): Promise<string> => {
  const server: Server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const RECORD = create(NodeRecordSchema, {
  nodeId: 'n1',
  dataCentre: 'dc-east',
  servers: [{ serverId: 'desk-1', service: 'order-desk', state: ServerState.SERVING }],
});

const createListener = (log: FakeControlLog): RequestListener => {
  const app = createOperatorApi({
    log,
    readNodes: () =>
      Promise.resolve([
        {
          nodeId: 'n1',
          dataCentre: 'dc-east',
          version: 4,
          inForceAtMs: 995_080,
          isConnected: true,
        },
      ]),
    listNodeRecords: () => [RECORD],
    metrics: new MetricsRegistry(),
    token: TOKEN,
    nowMs: Date.now,
  });
  const handle = getRequestListener(app.fetch);
  return (request, response) => {
    handle(request, response).catch(() => response.destroy());
  };
};

/** Executes each request but closes the connection without a response. */
const createDisconnectingListener = (log: FakeControlLog): RequestListener => {
  const app = createOperatorApi({
    log,
    readNodes: () => Promise.resolve([]),
    listNodeRecords: () => [],
    metrics: new MetricsRegistry(),
    token: TOKEN,
    nowMs: Date.now,
  });
  return (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const headers = Object.entries(request.headers).map(([name, value]) => [name, String(value)]);
      const answered = app.request(request.url ?? '/', {
        method: request.method ?? 'GET',
        headers: Object.fromEntries(headers) as Record<string, string>,
        ...(request.method === 'POST' ? { body: Buffer.concat(chunks).toString() } : {}),
      });
      Promise.resolve(answered).finally(() => response.destroy());
    });
  };
};

const CLOSED_PORT = '127.0.0.1:1';

const apply = (controls: string[], ...args: string[]): Promise<Outcome> =>
  run(
    'apply',
    sheetFile,
    '--version',
    '5',
    '--token-file',
    tokenFile,
    '--wait-ms',
    '300',
    ...controls.flatMap((control) => ['--control', control]),
    ...args,
  );

tap.test('an accepted sheet exits with 0', async (t) => {
  const log = new FakeControlLog();
  const control = await listen(t, createListener(log));
  const outcome = await apply([control]);
  t.match(outcome, { exitCode: ExitCode.Done, stdout: /^ACCEPTED: done/, stderr: '' });
  t.match(log.changes, [{ configuration: { version: 5 } }]);
  const json = await apply([control], '--json', '--request-id', 'mine');
  t.match(JSON.parse(json.stdout), { outcome: 'ACCEPTED', requestId: 'mine' });
});

tap.test('a rejected sheet exits with 1 and prints who holds the version number', async (t) => {
  const log = new FakeControlLog();
  log.result = { outcome: ApplyOutcome.Conflict, message: 'other content', holder: FAKE_HOLDER };
  const outcome = await apply([await listen(t, createListener(log))]);
  t.equal(outcome.exitCode, ExitCode.Refused);
  t.match(outcome.stderr, /^foxtailvane: CONFLICT: other content.* held by ada since .*\n$/);
});

tap.test('an invalid sheet exits with 2, prints a line per fault and is not sent', async (t) => {
  const faulty = write('faulty.csv', SHEET.replace('500', '0').replace(',20,', ',x,'));
  const outcome = await run(
    ...['apply', faulty, '--version', '5', '--control', CLOSED_PORT, '--token-file', tokenFile],
  );
  t.equal(outcome.exitCode, ExitCode.BadInput);
  const lines = outcome.stderr.trim().split('\n');
  t.match(lines, [/row 2, column timeout_ms: "0"/, /row 2, column slots: "x"/]);
  t.equal((await run('sheet', 'check', faulty)).exitCode, ExitCode.BadInput);
  t.equal((await run('sheet', 'check', sheetFile)).exitCode, ExitCode.Done);
});

tap.test('after a lost response, the next control VM gets the same request id', async (t) => {
  const log = new FakeControlLog();
  const lost = await listen(t, createDisconnectingListener(log));
  const other = await listen(t, createListener(log));
  const outcome = await apply([lost, other]);
  t.equal(outcome.exitCode, ExitCode.Done);
  t.match(outcome.stderr, /trying again with request id/);
  t.equal(log.changes.length, 2);
  t.equal(log.changes[0]?.requestId, log.changes[1]?.requestId);
});

tap.test('an outcome that stays unknown exits with 3 and is reported as UNKNOWN', async (t) => {
  const log = new FakeControlLog();
  const outcome = await apply(
    [await listen(t, createDisconnectingListener(log)), CLOSED_PORT],
    '--json',
  );
  t.equal(outcome.exitCode, ExitCode.Unknown);
  t.match(outcome.stderr, /UNKNOWN: version 5 may have been accepted/);
  t.match(JSON.parse(outcome.stdout), { outcome: 'UNKNOWN', version: 5 });
  log.result = { outcome: ApplyOutcome.Unknown, message: 'no majority answered' };
  const answered = await apply([await listen(t, createListener(log))]);
  t.equal(answered.exitCode, ExitCode.Unknown);
});

tap.test(
  'an attempt with unknown outcome keeps the result unknown after a later refusal',
  async (t) => {
    const log = new FakeControlLog();
    const other = new FakeControlLog();
    other.result = { outcome: ApplyOutcome.Unavailable, message: 'no leader' };
    const outcome = await apply([
      await listen(t, createDisconnectingListener(log)),
      await listen(t, createListener(other)),
    ]);
    t.equal(outcome.exitCode, ExitCode.Unknown);
  },
);

tap.test(
  'a version accepted by a lost attempt and superseded since counts as accepted',
  async (t) => {
    const log = new FakeControlLog();
    const other = new FakeControlLog();
    other.result = { outcome: ApplyOutcome.Stale, message: 'version 6 is accepted' };
    const parsed = parseSheet(SHEET, { version: 5 });
    const contentHash = parsed.isOk() ? Buffer.from(parsed.value.contentHash).toString('hex') : '';
    other.holders = [{ ...FAKE_HOLDER, version: 5, contentHash }];
    const lost = await listen(t, createDisconnectingListener(log));
    const control = await listen(t, createListener(other));
    const outcome = await apply([lost, control, control]);
    t.match(outcome, { exitCode: ExitCode.Done, stdout: /has since been superseded/ });
    const first = await apply([control]);
    t.equal(first.exitCode, ExitCode.Refused, 'without a lost attempt, STALE stays a refusal');
  },
);

tap.test('without a reachable control VM or leader, the command exits with 1', async (t) => {
  const outcome = await apply([CLOSED_PORT]);
  t.equal(outcome.exitCode, ExitCode.Refused);
  t.match(outcome.stderr, /was not applied/);
  const log = new FakeControlLog();
  log.result = { outcome: ApplyOutcome.Unavailable, message: 'no leader' };
  const unavailable = await apply([await listen(t, createListener(log))]);
  t.match(unavailable, { exitCode: ExitCode.Refused, stderr: /no leader/ });
});

tap.test('a wrong token is refused and is never printed', async (t) => {
  const control = await listen(t, createListener(new FakeControlLog()));
  const wrong = write('wrong', `${TOKEN}-wrong`);
  const outcome = await run(
    ...['apply', sheetFile, '--version', '5', '--control', control, '--token-file', wrong],
  );
  t.match(outcome, { exitCode: ExitCode.Refused, stderr: /HTTP 401/ });
  t.notMatch(outcome.stdout + outcome.stderr, TOKEN);
});

tap.test('read commands fail over to the next control VM and print tables or JSON', async (t) => {
  const control = await listen(t, createListener(new FakeControlLog()));
  const connection = ['--control', CLOSED_PORT, '--control', control, '--token-file', tokenFile];
  const status = await runInProcess('status', ...connection);
  t.match(status, { exitCode: ExitCode.Done, stdout: /complete on connected nodes after 80 ms/ });
  t.match(status.stdout, /unreachable control VMs: control-2/);
  const json = await runInProcess('status', ...connection, '--json');
  t.match(JSON.parse(json.stdout), { leader: 'control-1', nodes: { total: 1 } });
  t.match(await runInProcess('history', ...connection), { exitCode: ExitCode.Done, stdout: /ada/ });
  t.match(await runInProcess('servers', ...connection), {
    exitCode: ExitCode.Done,
    stdout: /^service/,
  });
  t.match(await runInProcess('workspaces', ...connection), {
    exitCode: ExitCode.Done,
    stdout: /^workspace +quota +offered +passed on +over quota/,
  });
  const diff = await runInProcess('sheet', 'diff', sheetFile, ...connection);
  t.match(diff, { exitCode: ExitCode.Done, stdout: /\+ service order-desk/ });
  const none = await runInProcess('status', '--control', CLOSED_PORT, '--token-file', tokenFile);
  t.equal(none.exitCode, ExitCode.Refused);
});

tap.test('explain shows the route of a request and the servers that can handle it', async (t) => {
  const log = new FakeControlLog();
  const rows = 'route,stock,*,/stock,GET,order-desk,100,yes,500,2,,';
  const parsed = parseSheet(`${SHEET}${rows}\n`, { version: 4 });
  if (parsed.isOk()) log.configuration = parsed.value;
  const control = await listen(t, createListener(log));
  const connection = ['--control', control, '--token-file', tokenFile];
  const matched = await runInProcess(
    ...['explain', '--host', 'a.example', '--path', '/stock/7', ...connection],
  );
  t.match(matched, { exitCode: ExitCode.Done, stdout: /route: stock .*prefix \/stock/ });
  t.match(matched.stdout, /service order-desk, 100% of requests, 1 servers\n.*\n ?desk-1 .* yes /);
  const other = await runInProcess(
    ...['explain', '--host', 'a.example', '--path', '/none', '--json', ...connection],
  );
  t.match(JSON.parse(other.stdout), { version: 4, route: undefined, targets: [] });
  const query = ['explain', '--host', 'a', '--path', '/'];
  t.equal((await runInProcess(...query)).exitCode, ExitCode.BadInput);
  t.equal((await runInProcess(...query, '--node', CLOSED_PORT)).exitCode, ExitCode.Refused);
});

tap.test('invalid arguments and settings exit with 2 and one line per fault', async (t) => {
  const connection = ['--control', CLOSED_PORT, '--token-file', tokenFile];
  const wrong = [
    ['absent'],
    ['apply', sheetFile, ...connection],
    ['apply', sheetFile, '--version', '0', ...connection],
    ['apply', sheetFile, '--version', '5', '--control', 'nowhere', '--token-file', tokenFile],
    ['apply', sheetFile, '--version', '5', '--control', CLOSED_PORT, '--token-file', folder],
    ['apply', join(folder, 'absent.csv'), '--version', '5', ...connection],
    ['status', '--timeout-ms', '5s', ...connection],
  ];
  const outcomes = await Promise.all(wrong.map((args) => runInProcess(...args)));
  outcomes.forEach(({ exitCode, stderr }, index) => {
    t.equal(exitCode, ExitCode.BadInput, wrong[index]?.join(' ') ?? '');
    t.match(stderr, /^[^\n]+\n$/);
  });
  const settings = write('control.ini', '[control]\nname = x y\n[extra]\n');
  const checked = await run('check-settings', settings);
  t.equal(checked.exitCode, ExitCode.BadInput);
  t.match(checked.stderr, /\[control\] name "x y": expected/);
  t.match(checked.stderr, /\[extra\]: expected one of the sections/);
});

tap.test('the help of every command has an example', async (t) => {
  const commands = [
    ['check-settings'],
    ['sheet', 'check'],
    ['sheet', 'diff'],
    ['apply'],
    ['status'],
    ['servers'],
    ['workspaces'],
    ['explain'],
    ['history'],
    ['control'],
    ['node'],
    ['members', 'add'],
    ['members', 'remove'],
  ];
  const outcomes = await Promise.all(commands.map((command) => runInProcess(...command, '--help')));
  outcomes.forEach((outcome, index) => {
    const name = commands[index]?.join(' ') ?? '';
    t.equal(outcome.exitCode, ExitCode.Done, name);
    t.match(outcome.stdout, new RegExp(`Examples:\\n  \\$ foxtailvane ${name}`));
  });
});
