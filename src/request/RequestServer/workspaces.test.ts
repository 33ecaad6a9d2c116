import { createHash } from 'node:crypto';

import tap from 'tap';

import type { IncomingMessage } from 'node:http';
import type { Test } from 'tap';
import { buildConfiguration } from '../../../stand-ins/configurations/index.js';
import { expectOk } from '../../../stand-ins/results/index.js';
import { TestMesh, createDeskRoutes, createRoute, send } from '../../../test/requestMesh/index.js';
import PlatformDialect from '../../../platform/PlatformDialect.js';
import { compileConfiguration } from '../../version/compileConfiguration/index.js';

import type { CompiledConfiguration } from '../../version/compileConfiguration/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';

const KEY = 'dedev3nax7u27gxprymh';

const compile = (version: number, keys: string[] | undefined): CompiledConfiguration => {
  const digests = keys?.map((key) => createHash('sha256').update(key).digest());
  const open = createRoute({ name: 'open', pathPrefix: '/open', isKeyless: true });
  return expectOk(
    compileConfiguration(
      buildConfiguration(version, {
        services: [{ name: 'desk' }],
        routes: [...createDeskRoutes(), open],
        workspaces: digests ? [{ name: 'oak 1', keyDigests: digests }] : [],
      }),
    ),
  );
};

interface TestSetup {
  mesh: TestMesh;
  /** Without a server beside it, so that it forwards all requests. */
  entry: TestNode;
  owner: TestNode;
  /** Heads of the requests that the server got. */
  seen: IncomingMessage[];
  setProofLeftMs: (at: 'entry' | 'owner', leftMs: number) => void;
}

const start = async (t: Test, keys: string[] | undefined): Promise<TestSetup> => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  mesh.configuration = compile(1, keys);
  const leftMs = { entry: 60_000, owner: 60_000 };
  const dialect = new PlatformDialect();
  const entry = await mesh.startNode('entry', {
    dialect,
    readKeyProofLeftMs: () => leftMs.entry,
  });
  const owner = await mesh.startNode('owner', {
    dialect,
    readKeyProofLeftMs: () => leftMs.owner,
  });
  const seen: IncomingMessage[] = [];
  await mesh.startBackend(owner, (request, response) => {
    seen.push(request);
    const attemptId = String(request.headers['attempt-id']);
    response.writeHead(200, { 'attempt-id': attemptId, 'server-stamp': 's' }).end('ok');
  });
  const setProofLeftMs = (at: 'entry' | 'owner', value: number): void => {
    leftMs[at] = value;
  };
  return { mesh, entry, owner, seen, setProofLeftMs };
};

const sendWith = (node: TestNode, authorization: string | string[] | undefined, path = '/') => {
  const headers: Record<string, string | string[]> = { 'attempt-id': 'a1', 'tenant-id': 'forged' };
  if (authorization !== undefined) headers.Authorization = authorization;
  return send(node.address, { path, headers });
};

// Guards against a server that learns a key, or that is shown a name which the caller chose.
tap.test('the server is shown the workspace and never the key', async (t) => {
  const { entry, owner, seen } = await start(t, [KEY]);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 200, 'forwarded');
  t.equal((await sendWith(owner, `token ${KEY}`)).status, 200, 'local');
  t.equal((await sendWith(entry, `Token ${KEY}`, '/open')).status, 200, 'keyless route');
  t.strictSame(
    seen.map(({ headers }) => headers['tenant-id']),
    ['oak 1', 'oak 1', undefined],
  );
  t.notMatch(JSON.stringify(seen.map(({ rawHeaders }) => rawHeaders)), KEY);
});

tap.test('a request without exactly one known key does not run', async (t) => {
  const { entry, seen } = await start(t, [KEY]);
  const wrong = [
    undefined,
    'Token other',
    `Bearer ${KEY}`,
    KEY,
    `Token ${KEY} x`,
    `Token  ${KEY}`,
    [`Token ${KEY}`, `Token ${KEY}`],
  ];
  const replies = await Promise.all(wrong.map((value) => sendWith(entry, value)));
  t.strictSame(
    replies.map(({ status }) => status),
    wrong.map(() => 401),
  );
  t.equal((await sendWith(entry, undefined, '/open')).status, 200);
  t.equal(seen.length, 1);
});

// Guards against a withdrawn key that runs because its request was already on the way.
tap.test('the node beside the server checks the key again', async (t) => {
  const { mesh, entry, owner, seen, setProofLeftMs } = await start(t, [KEY]);
  setProofLeftMs('owner', 0);
  t.equal((await sendWith(owner, `Token ${KEY}`)).status, 503);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 200, 'the proof of the entry node holds');
  setProofLeftMs('entry', 0.5);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 503, 'neither proof holds');
  setProofLeftMs('owner', 1);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 200, 'the own proof holds');
  setProofLeftMs('entry', Infinity);
  mesh.configuration = compile(2, []);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 401);
  t.equal(seen.length, 2);
});

// Guards against a change for deployments that authenticate their callers behind foxtailvane, and against
// a server that is shown the name of a workspace which the caller chose.
tap.test('without workspaces the credentials of callers pass, and no name of theirs', async (t) => {
  const { entry, owner, seen } = await start(t, undefined);
  t.equal((await sendWith(entry, `Token ${KEY}`)).status, 200, 'forwarded');
  t.equal((await sendWith(owner, `Token ${KEY}`)).status, 200, 'local');
  t.strictSame(
    seen.map(({ headers }) => [headers.authorization, headers['tenant-id']]),
    [
      [`Token ${KEY}`, undefined],
      [`Token ${KEY}`, undefined],
    ],
  );
});
