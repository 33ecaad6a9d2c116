import { createHash } from 'node:crypto';

import tap from 'tap';

import { buildConfiguration } from '../../../stand-ins/configurations/index.js';
import { expectOk } from '../../../stand-ins/results/index.js';
import { compileConfiguration } from '../../version/compileConfiguration/index.js';
import { formatKeyId } from '../../version/digestKey/index.js';
import { RefusalReason } from '../_lib/writeRefusal.js';
import { admitKey, findKeyFault } from './index.js';

import type { KeyFacts } from './index.js';

const digest = (key: string): Buffer => createHash('sha256').update(key).digest();

const compile = (version: number, keys: string[]) =>
  expectOk(
    compileConfiguration(
      buildConfiguration(version, {
        services: [{ name: 'desk' }],
        routes: [
          { name: 'keyed', pathPrefix: '/a', targets: [{ service: 'desk', weightPercent: 100 }] },
          {
            ...{ name: 'open', pathPrefix: '/b', isKeyless: true },
            targets: [{ service: 'desk', weightPercent: 100 }],
          },
        ],
        workspaces: [{ name: 'oak', keyDigests: keys.map(digest) }],
      }),
    ),
  );

const compiled = compile(3, ['k1']);
const [keyed, open] = compiled.configuration.routes;

const admit = (key: string | undefined, facts: Partial<KeyFacts> = {}) => {
  if (!keyed) throw new Error('the configuration has no route');
  const all = { compiled, route: keyed, isCurrent: () => true, areKeysProven: () => true };
  return admitKey(() => key, { ...all, ...facts });
};

// Guards against requests of strangers that run, and against a 401 for a key that was just added.
tap.test('a key that no workspace holds is refused', async (t) => {
  t.match(admit('k1'), { workspace: { name: 'oak' }, keyId: formatKeyId(digest('k1')) });
  [undefined, 'k2', 'K1', 'k1 ', 'k'.repeat(9_000)].forEach((key) => {
    t.match(admit(key), { reason: RefusalReason.UnknownKey, statusCode: 401 });
    const unconfirmed = admit(key, { isCurrent: () => false });
    t.match(unconfirmed, { reason: RefusalReason.VersionUnconfirmed, statusCode: 503 });
  });
});

tap.test('a route without keys admits every request', async (t) => {
  if (!open) throw new Error('the configuration has no route');
  t.equal(admit(undefined, { route: open, areKeysProven: () => false }), undefined);
});

// Guards against a node that is cut off and goes on with a key that has been withdrawn.
tap.test('a known key is refused while the node cannot prove that it is valid', async (t) => {
  const refused = admit('k1', { areKeysProven: () => false });
  t.match(refused, { reason: RefusalReason.KeyUnconfirmed, statusCode: 503 });
});

tap.test('the check beside the server uses the newer one of two versions', async (t) => {
  const forwarded = { workspaceName: 'oak', keyId: formatKeyId(digest('k1')), version: 3 };
  const find = (version: number, keys: string[]) =>
    findKeyFault(forwarded, compile(version, keys), true);
  t.equal(find(3, ['k1']), undefined);
  t.equal(find(4, ['k2']), RefusalReason.UnknownKey, 'withdrawn since');
  t.equal(find(2, ['k2']), undefined, 'added in a version that is not here yet');
  t.equal(findKeyFault(forwarded, undefined, true), undefined);
  const renamed = { ...forwarded, workspaceName: 'elm' };
  t.equal(findKeyFault(renamed, compiled, true), RefusalReason.UnknownKey);
  t.equal(findKeyFault(forwarded, compiled, false), RefusalReason.KeyUnconfirmed);
});
