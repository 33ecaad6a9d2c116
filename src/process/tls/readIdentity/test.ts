import tap from 'tap';

import { ProcessRole, readIdentity } from './index.js';

tap.test('the role is read from a known organizational unit only', async (t) => {
  t.strictSame(readIdentity({ CN: 'c1', OU: 'control' }), {
    name: 'c1',
    role: ProcessRole.Control,
  });
  t.equal(readIdentity({ CN: 'n1', OU: ['mesh', 'node'] }).role, ProcessRole.Node);
  t.equal(readIdentity({ CN: 'n1', OU: 'Control room' }).role, undefined);
  t.strictSame(readIdentity({}), { name: '', role: undefined });
});
