/** Tests the control daemon as a separate process. */
import { spawn } from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import tap from 'tap';

import AddressAllocator from '../../../../stand-ins/cluster/_lib/AddressAllocator.js';
import waitFor from '../../../../stand-ins/waitFor/index.js';
import ExitCode from '../../cli/ExitCode.js';

const MAIN = fileURLToPath(new URL('../../cli/main.js', import.meta.url));
const TOKEN = 'token-that-must-not-be-logged';
const addresses = new AddressAllocator();

const writeSettings = async (): Promise<{ settings: string; log: string }> => {
  const folder = mkdtempSync(join(tmpdir(), 'foxtailvane-daemon-'));
  const [listen, operatorListen] = [await addresses.allocate(), await addresses.allocate()];
  mkdirSync(join(folder, 'data'));
  writeFileSync(join(folder, 'token'), TOKEN);
  const lines = [
    '[control]',
    'name = control-1',
    'data_centre = dc-east',
    'region = region-1',
    'data_folder = data',
    `listen = ${listen}`,
    `operator_listen = ${operatorListen}`,
    '[members]',
    `control-1 = dc-east, ${listen}`,
    '[operator]',
    'token_file = token',
    '[log]',
    'destination = control.log',
  ];
  const settings = join(folder, 'control.ini');
  writeFileSync(settings, lines.join('\n'));
  return { settings, log: join(folder, 'control.log') };
};

const start = (settings: string, runtimeOptions: string[] = []) => {
  const parameters = [...runtimeOptions, MAIN, 'control', '--settings', settings];
  const child = spawn(process.execPath, parameters, {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  const chunks: Buffer[] = [];
  child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
  const ended = new Promise<{ exitCode: number | null; stderr: string }>((resolve) => {
    child.once('close', (exitCode) => {
      resolve({ exitCode, stderr: Buffer.concat(chunks).toString() });
    });
  });
  return { child, ended };
};

const readLog = (path: string): string => (existsSync(path) ? readFileSync(path, 'utf8') : '');

tap.test('the daemon logs to the file in its settings and reopens it on SIGHUP', async (t) => {
  const { settings, log } = await writeSettings();
  const { child, ended } = start(settings);
  t.teardown(() => child.kill('SIGKILL'));
  await waitFor('start', () => readLog(log).includes('control daemon started'));
  renameSync(log, `${log}.1`);
  child.kill('SIGHUP');
  await waitFor('new log file', () => existsSync(log));
  child.kill('SIGTERM');
  t.match(await ended, { exitCode: ExitCode.Done, stderr: '' });
  t.match(readLog(log), /control daemon stopped/);
  t.notMatch(readLog(log) + readLog(`${log}.1`), TOKEN);
});

tap.test('invalid settings end the daemon with exit code 2 and one line per fault', async (t) => {
  const { settings } = await writeSettings();
  const text = readFileSync(settings, 'utf8').replace('= token', '= absent').concat('\n[extra]');
  writeFileSync(settings, text);
  const { exitCode, stderr } = await start(settings).ended;
  t.equal(exitCode, ExitCode.BadInput);
  t.match(stderr.trim().split('\n'), [/\[extra\]: expected/, /\[operator\] token_file "absent"/]);
});

tap.test('an address in use ends the daemon with exit code 1', async (t) => {
  const { settings, log } = await writeSettings();
  const first = start(settings);
  t.teardown(() => first.child.kill('SIGKILL'));
  await waitFor('start', () => readLog(log).includes('control daemon started'));
  const other = await writeSettings();
  const occupied = /^operator_listen = (.*)$/m.exec(readFileSync(settings, 'utf8'))?.[0] ?? '';
  const text = readFileSync(other.settings, 'utf8').replace(/^operator_listen = .*$/m, occupied);
  writeFileSync(other.settings, text);
  const { exitCode, stderr } = await start(other.settings).ended;
  t.equal(exitCode, ExitCode.Refused);
  t.match(stderr, /^foxtailvane: cannot listen on [^\n]+\n$/);
});

// Guards against a daemon whose end leaves open what ended it, where its log is a file.
tap.test('an error that nothing has caught is logged and ends the daemon', async (t) => {
  const { settings, log } = await writeSettings();
  const fault =
    'data:text/javascript,process.on("SIGUSR2", () => { throw new Error("injected fault"); })';
  const { child, ended } = start(settings, ['--import', fault]);
  t.teardown(() => child.kill('SIGKILL'));
  await waitFor('start', () => readLog(log).includes('control daemon started'));
  child.kill('SIGUSR2');
  const { exitCode, stderr } = await ended;
  t.equal(exitCode, 1);
  t.match(stderr, /Error: injected fault/);
  const lines = readLog(log).trim().split('\n');
  t.match(JSON.parse(lines.at(-1) ?? '{}'), {
    context: { component: 'process', reason: /injected fault/, residentBytes: Number },
  });
});
