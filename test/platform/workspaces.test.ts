/** Keys of workspaces, with the platform programs as separate processes. */
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';
import type { Test } from 'tap';
import { request } from 'undici';

import {
  PlatformCluster,
  callControl,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type { PlatformMachine } from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const CONTROL_IP = '127.0.75.1';
const NODE_IPS = ['127.0.76.1', '127.0.76.2'];
const SERVICE = 'desk';
const KEPT_KEY = 'kept-dedev3nax7u27';
const WITHDRAWN_KEY = 'gone-2rrytapjsujq';
/** Time after which a withdrawn key must run nothing. */
const REVOKE_MS = 2_500;

const createDocument = (
  version: number,
  baseVersion: number,
  keys: string[] | undefined,
): object => {
  const document = createConfigurationDocument(version, baseVersion, [SERVICE]);
  const open = { name: 'open', path_prefix: '/open/', auth_exempt: true, service: SERVICE };
  const routes = [...document.routes, { ...document.routes[0], ...open }];
  return { ...document, routes, tenants: keys ? [{ name: 'oak', api_keys: keys }] : [] };
};

const start = async (t: Test): Promise<PlatformCluster> => {
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: [SERVICE],
    zones: ['zone-a'],
    node: { bounds: { strict_revoke: true, revoke: `${REVOKE_MS}ms` } },
  });
  t.teardown(() => platform.stop());
  await platform.start();
  return platform;
};

const sendWith = async (
  node: PlatformMachine | undefined,
  key: string | undefined,
  path = '/desk/1',
): Promise<number> => {
  const headers = {
    'tenant-id': 'forged',
    ...(key !== undefined && { authorization: `Token ${key}` }),
  };
  const options = { path, headers, remainingMs: 4_000 };
  return (await sendAttempt(node?.address('outbound') ?? '', options)).status;
};

tap.test('keys of workspaces', async (t) => {
  const platform = await start(t);
  const { controls, nodes, workers } = platform;
  const [control] = controls;
  if (!control) throw new Error('the test platform has no control VM');
  const [first, second] = nodes;
  const countRuns = (): number => workers.reduce((sum, { runs }) => sum + runs.length, 0);
  const waitUntilServed = (key: string): Promise<unknown> =>
    Promise.all(
      nodes.map((node) => waitFor('served', async () => (await sendWith(node, key)) === 200)),
    );
  await platform.applyConfiguration(createDocument(2, 0, [KEPT_KEY, WITHDRAWN_KEY]));
  await waitUntilServed(WITHDRAWN_KEY);

  await t.test('strangers are refused and run nothing', async (t2) => {
    const before = countRuns();
    t2.equal(await sendWith(first, 'unknown'), 401);
    t2.equal(await sendWith(first, undefined), 401);
    t2.equal(countRuns(), before);
    t2.equal(await sendWith(first, undefined, '/open/1'), 200);
  });

  // Guards against a withdrawn key that goes on to work at a node which was frozen meanwhile.
  await t.test(
    'a key that was withdrawn while a node was frozen runs nothing there',
    async (t2) => {
      second?.setFrozen(true);
      await platform.applyConfiguration(createDocument(5, 2, [KEPT_KEY]));
      await delay(REVOKE_MS);
      const before = countRuns();
      const replies = [WITHDRAWN_KEY, WITHDRAWN_KEY].map((key) => sendWith(second, key));
      await delay(100);
      second?.setFrozen(false);
      const statuses = await Promise.all(replies);
      t2.ok(
        statuses.every((status) => status === 401 || status === 503),
        statuses.join(),
      );
      t2.equal(await sendWith(first, WITHDRAWN_KEY), 401);
      t2.equal(countRuns(), before);
      await waitUntilServed(KEPT_KEY);
    },
  );

  // Guards against a node that is cut off and cannot learn that a key was withdrawn.
  await t.test(
    'nodes without a control VM refuse keys in time, and accept them again',
    async (t2) => {
      control.setFrozen(true);
      await delay(REVOKE_MS);
      const before = countRuns();
      t2.equal(await sendWith(first, KEPT_KEY), 503);
      t2.equal(await sendWith(second, KEPT_KEY), 503);
      t2.equal(countRuns(), before);
      t2.equal(await sendWith(first, undefined, '/open/1'), 200, 'other routes are served');
      control.setFrozen(false);
      await waitUntilServed(KEPT_KEY);
    },
  );

  // Guards against keys in logs, metrics and error messages, and against forged names.
  await t.test('nobody is shown a key', async (t2) => {
    const invalid = { ...createDocument(9, 5, [KEPT_KEY]), tenants: [{ api_keys: [KEPT_KEY] }] };
    const refused = await callControl(control.address('control'), 'configuration.replace', invalid);
    t2.equal(refused.status, 400);
    const metrics = await Promise.all(
      [first?.address('ready'), control.address('control')].map(async (address) =>
        (await request(`http://${address}/metrics`)).body.text(),
      ),
    );
    const runs = workers.flatMap((worker) => worker.runs);
    const keyed = runs.filter(({ path }) => path.startsWith('/desk/'));
    const outputs = [control, ...nodes].map(({ output }) => output);
    const shown = [refused.body, ...metrics, ...outputs, JSON.stringify(runs)].join('\n');
    t2.notOk(shown.includes(KEPT_KEY) || shown.includes(WITHDRAWN_KEY));
    t2.match(shown, /UNKNOWN_KEY/, 'refusals are logged');
    t2.notMatch(JSON.stringify(runs), 'forged"', 'a forged name is removed');
    t2.ok(
      keyed.every(({ rawHeaders }) => rawHeaders[rawHeaders.indexOf('tenant-id') + 1] === 'oak'),
    );
  });

  // Guards against an empty list of workspaces that is taken for none, so that every key is admitted.
  await t.test('no key runs anything after the last workspace is taken away', async (t2) => {
    await platform.applyConfiguration(createDocument(12, 5, undefined));
    await delay(REVOKE_MS);
    const before = countRuns();
    const statuses = await Promise.all(
      nodes.flatMap((node) => [KEPT_KEY, 'unknown', undefined].map((key) => sendWith(node, key))),
    );
    t2.ok(
      statuses.every((status) => status === 401),
      statuses.join(),
    );
    t2.equal(countRuns(), before);
    t2.equal(await sendWith(first, undefined, '/open/1'), 200, 'keyless routes are served');
    await platform.applyConfiguration(createDocument(13, 12, [KEPT_KEY]));
    await waitUntilServed(KEPT_KEY);
  });

  // Guards against a server that takes the name of a workspace from a client, where there are none.
  await t.test('a name made up by a client reaches no server without workspaces', async (t2) => {
    const without = { ...createDocument(15, 13, []), tenants: undefined };
    await platform.applyConfiguration(without);
    await waitFor('no key is needed', async () => (await sendWith(first, undefined)) === 200);
    const path = '/desk/without-workspaces';
    t2.equal(await sendWith(second, 'any', path), 200);
    const run = workers.flatMap(({ runs }) => runs).find((candidate) => candidate.path === path);
    t2.ok(run);
    t2.notOk(run?.rawHeaders.includes('tenant-id'));
    t2.ok(run?.rawHeaders.includes('Token any'), 'other headers are forwarded');
  });
});
