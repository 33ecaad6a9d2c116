import { createHash } from 'node:crypto';

import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { buildSizedConfiguration } from '../../../stand-ins/configurations/index.js';
import {
  ConfigurationSchema,
  ServiceSchema,
  WorkspaceSchema,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { hashConfiguration } from './index.js';

import type { Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';

const desk = create(ServiceSchema, { name: 'order-desk', timeoutMs: 500, slots: 20 });
const ledger = create(ServiceSchema, { name: 'harvest-ledger', timeoutMs: 500, slots: 20 });

tap.test('the hash does not depend on row order, so a sheet can be reordered', async (t) => {
  const first = hashConfiguration({ services: [desk, ledger], routes: [] });
  const second = hashConfiguration({ services: [ledger, desk], routes: [] });
  t.strictSame(first, second);
});

tap.test(
  'a changed value changes the hash, so other content under the same version number is detected',
  async (t) => {
    const first = hashConfiguration({ services: [desk], routes: [] });
    const changed = create(ServiceSchema, { ...desk, slots: 21 });
    const second = hashConfiguration({ services: [changed], routes: [] });
    t.notSame(first, second);
  },
);

// Guards against control VMs and nodes of different builds that disagree about the same content.
tap.test('the hash is that of the encoded configuration with sorted rows', async (t) => {
  const { services, routes } = buildSizedConfiguration(7, { routes: 300 });
  const limits = { maxHeaderBytes: 9, maxBodyBytes: 0, headerTimeoutMs: 3, idleTimeoutMs: 4 };
  const canonical = create(ConfigurationSchema, { services, routes, limits });
  const expected = createHash('sha256').update(toBinary(ConfigurationSchema, canonical)).digest();
  const content = {
    services: services.toReversed(),
    routes: routes.toReversed(),
    limits: canonical.limits,
  };
  t.equal(Buffer.compare(hashConfiguration(content), expected), 0);
});

// Guards against a change of the hash of the configurations that are stored already.
tap.test('a configuration without workspaces has the hash that it had before', async (t) => {
  const expected = hashConfiguration({ services: [desk], routes: [] });
  t.equal(
    Buffer.from(expected).toString('hex'),
    'c8fe7734bcb7d04ae90e48c4b471436e36a668d68054052b465fc7423282d2e8',
  );
  t.strictSame(hashConfiguration({ services: [desk], routes: [], workspaces: [] }), expected);
});

tap.test('a key that is taken away changes the hash', async (t) => {
  const [one, two] = [[Buffer.alloc(32, 1)], [Buffer.alloc(32, 1), Buffer.alloc(32, 2)]].map(
    (keyDigests) => create(WorkspaceSchema, { name: 'oak', keyDigests }),
  );
  const hash = (workspaces: Workspace[]) =>
    hashConfiguration({ services: [], routes: [], workspaces });
  t.notSame(hash(one ? [one] : []), hash(two ? [two] : []));
});
