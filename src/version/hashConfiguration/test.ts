import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
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
