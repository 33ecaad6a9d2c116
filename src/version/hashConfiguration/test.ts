import { createHash } from 'node:crypto';

import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { buildSizedConfiguration } from '../../../stand-ins/configurations/index.js';
import {
  ConfigurationSchema,
  ServiceSchema,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { hashConfiguration } from './index.js';

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
