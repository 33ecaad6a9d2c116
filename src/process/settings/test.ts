import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import fc from 'fast-check';
import tap from 'tap';

import Placement from '../../request/placement/index.js';
import { LogLevel } from '../log/index.js';
import {
  parseControlSettings,
  parseNodeSettings,
  readControlSettings,
  readNodeSettings,
} from './index.js';

const CONTROL = `
; a control VM
[control]
name = control-1
data_centre = dc-east
region = delta-south
data_folder = data
listen = 127.0.0.1:7400
operator_listen = 127.0.0.1:7401
[members]
control-1 = dc-east, 127.0.0.1:7400
control-2 = dc-west, [::1]:7400
[operator]
token_file = token
[log]
level = debug
destination = log.txt
[timing]
heartbeat_ms = 50
[rollouts]
exposed_permille = 50
exposed_slack = 20
rollback_ms = 4000
[quotas]
window_ms = 5000
overage_permille = 100
slack = 25
`;

const NODE = `
[node]
name = desk-1
data_centre = dc-east
region = delta-south
listen = 0.0.0.0:8080
forward_listen = 127.0.0.1:8081
peer_listen = 127.0.0.1:8082
local_listen = 127.0.0.1:8083
[control]
dc-east = 127.0.0.1:7400, 127.0.0.1:7410
dc-west = [::1]:7400
[requests]
queue_per_slot = 4
rollouts = on
placement = expected-cost
`;

const OPTIONS = { baseFolder: '/etc/foxtailvane' };

const listPlaces = (parsed: ReturnType<typeof parseControlSettings>): string[] =>
  parsed.isErr() ? parsed.error.faults.map(({ section, key }) => `${section} ${key}`) : [];

tap.test(
  'valid control VM settings are parsed, with paths resolved against the folder of the file',
  async (t) => {
    const parsed = parseControlSettings(CONTROL, OPTIONS);
    t.match(parsed.isOk() && parsed.value, {
      name: 'control-1',
      dataFolder: '/etc/foxtailvane/data',
      members: [
        { name: 'control-1', dataCentre: 'dc-east', address: '127.0.0.1:7400' },
        { name: 'control-2', dataCentre: 'dc-west', address: '[::1]:7400' },
      ],
      operator: { tokenFile: '/etc/foxtailvane/token' },
      log: { level: LogLevel.Debug, destination: '/etc/foxtailvane/log.txt' },
      timing: { heartbeatMs: 50 },
      rollouts: { exposedShare: 0.05, exposedSlack: 20, rollbackMs: 4_000 },
      quotas: { windowS: 5, overage: 0.1, slack: 25 },
    });
  },
);

tap.test('valid node settings are parsed', async (t) => {
  const parsed = parseNodeSettings(NODE, OPTIONS);
  t.match(parsed.isOk() && parsed.value, {
    name: 'desk-1',
    localListen: '127.0.0.1:8083',
    control: [
      { dataCentre: 'dc-east', addresses: ['127.0.0.1:7400', '127.0.0.1:7410'] },
      { dataCentre: 'dc-west', addresses: ['[::1]:7400'] },
    ],
    log: { level: LogLevel.Info, destination: 'stdout' },
    requests: { queuePerSlot: 4, placement: Placement.ExpectedCost, hasRollouts: true },
  });
});

tap.test('all faults are reported at once, by section and key', async (t) => {
  const text = CONTROL.replace('name = control-1', 'name = control-1\nname = x\ncolour = red')
    .replace('region = delta-south\n', '')
    .replace('127.0.0.1:7401', 'localhost:7401')
    .replace('dc-west, [::1]:7400', '[::1]:7400')
    .replace('level = debug', 'level = loud')
    .replace('heartbeat_ms = 50', 'heartbeat_ms = 5s\n= 3\n[extra]\na = b\n[log.file]\nx = y');
  t.strictSame(listPlaces(parseControlSettings(text, OPTIONS)).toSorted(), [
    ' ',
    'control colour',
    'control name',
    'control operator_listen',
    'control region',
    'extra ',
    'log level',
    'log.file ',
    'members control-2',
    'timing heartbeat_ms',
  ]);
});

tap.test('missing required sections are reported', async (t) => {
  t.strictSame(listPlaces(parseControlSettings('', OPTIONS)), [
    'control ',
    'members ',
    'operator ',
  ]);
});

tap.test('a control VM must be listed in [members] with its own data centre', async (t) => {
  const absent = CONTROL.replace('control-1 = dc-east', 'control-9 = dc-east');
  t.strictSame(listPlaces(parseControlSettings(absent, OPTIONS)), ['members control-1']);
  const moved = CONTROL.replace('control-1 = dc-east', 'control-1 = dc-west');
  t.strictSame(listPlaces(parseControlSettings(moved, OPTIONS)), ['members control-1']);
  const repeated = CONTROL.replace('[::1]:7400', '127.0.0.1:7400');
  t.strictSame(listPlaces(parseControlSettings(repeated, OPTIONS)), ['members control-2']);
});

tap.test('a section or key that the ini package would merge or drop is reported', async (t) => {
  const reserved = `${CONTROL}\n[__proto__]\nname = x\n`;
  t.strictSame(listPlaces(parseControlSettings(reserved, OPTIONS)), [' ']);
  const loose = `log = x\n${CONTROL}`;
  t.ok(listPlaces(parseControlSettings(loose, OPTIONS)).length > 0);
});

const listNodeKeys = (text: string): string[] => {
  const parsed = parseNodeSettings(text, OPTIONS);
  return parsed.isErr() ? parsed.error.faults.map(({ key }) => key) : [];
};

tap.test(
  'a wildcard address for other nodes or a non-loopback local_listen is reported',
  async (t) => {
    const wildcard = NODE.replace('forward_listen = 127.0.0.1', 'forward_listen = 0.0.0.0');
    t.strictSame(listNodeKeys(wildcard), ['forward_address']);
    const addressed = wildcard.replace('[control]', 'forward_address = 127.0.0.1:8081\n[control]');
    t.strictSame(listNodeKeys(addressed), []);
    t.strictSame(listNodeKeys(addressed.replace('address = 127.0.0.1', 'address = [::]')), [
      'forward_address',
    ]);
    const remote = NODE.replace('local_listen = 127.0.0.1', 'local_listen = 10.0.0.1');
    t.strictSame(listNodeKeys(remote), ['local_listen']);
  },
);

tap.test('forward_address and peer_address default to the listen addresses', async (t) => {
  const parsed = parseNodeSettings(
    NODE.replace('[control]', 'peer_address = 10.0.0.9:9000\n[control]'),
    OPTIONS,
  );
  t.match(parsed.isOk() && parsed.value, {
    forwardAddress: '127.0.0.1:8081',
    peerAddress: '10.0.0.9:9000',
  });
});

tap.test('timings are checked together with the defaults of absent keys', async (t) => {
  const withTiming = (line: string) => CONTROL.replace('heartbeat_ms = 50', line);
  t.strictSame(listPlaces(parseControlSettings(withTiming('heartbeat_ms = 600'), OPTIONS)), [
    'timing election_timeout_min_ms',
  ]);
  const late = withTiming('election_timeout_min_ms = 2000');
  t.strictSame(listPlaces(parseControlSettings(late, OPTIONS)), ['timing election_timeout_max_ms']);
});

tap.test('file faults and value faults are reported together', async (t) => {
  const folder = t.testdir({ 'control.ini': CONTROL.replace('debug', 'loud') });
  const path = join(folder, 'control.ini');
  const faulty = await readControlSettings(path);
  t.strictSame(listPlaces(faulty), ['log level', 'control data_folder', 'operator token_file']);
  mkdirSync(join(folder, 'data'));
  writeFileSync(join(folder, 'token'), 'secret');
  writeFileSync(path, CONTROL);
  t.ok((await readControlSettings(path)).isOk());
});

tap.test('a settings file that is missing or not UTF-8 is rejected', async (t) => {
  const folder = t.testdir();
  t.ok((await readNodeSettings(join(folder, 'none.ini'))).isErr());
  const path = join(folder, 'node.ini');
  writeFileSync(path, Buffer.concat([Buffer.from(NODE), Buffer.from([0xff])]));
  t.ok((await readNodeSettings(path)).isErr());
});

tap.test('no input throws, and rejected settings always have a fault', async (t) => {
  const line = fc.oneof(
    fc.constantFrom('[control]', '[members]', '[a.b]', '[]', '[__proto__]', '= x', 'x[] = 1'),
    fc.constantFrom('name = a', 'name', 'control = 3', "x = '[1]'", `x = '{"a":1}'`, 'x = null'),
    fc.string({ unit: 'binary', maxLength: 12 }),
  );
  const text = fc.array(line, { maxLength: 12 }).map((lines) => lines.join('\n'));
  const namesFaults = (input: string): boolean =>
    [parseControlSettings(input, OPTIONS), parseNodeSettings(input, OPTIONS)].every(
      (parsed) => parsed.isOk() || parsed.error.faults.length > 0,
    );
  fc.assert(fc.property(text, namesFaults), { numRuns: 1_000 });
  fc.assert(
    fc.property(text, (extra) => namesFaults(`${CONTROL}${extra}`) && namesFaults(NODE + extra)),
  );
  t.pass('no input threw');
});

tap.test('an emptied key of valid settings is reported', async (t) => {
  const required = CONTROL.split('\n').filter((entry) => /^(\w+) = /.test(entry));
  const spoilt = fc.property(fc.constantFrom(...required), (entry) => {
    const key = entry.split(' ')[0] ?? '';
    const spoiltText = CONTROL.split('\n')
      .map((line) => (line === entry ? `${key} =` : line))
      .join('\n');
    const places = listPlaces(parseControlSettings(spoiltText, OPTIONS));
    return places.some((place) => place.endsWith(` ${key}`));
  });
  fc.assert(spoilt);
  t.pass('every emptied key was reported');
});
