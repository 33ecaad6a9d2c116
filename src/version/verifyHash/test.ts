import tap from 'tap';

import { buildSizedConfiguration } from '../../../stand-ins/configurations/index.js';
import { verifyHash } from './index.js';

tap.test('altered content fails, also after the original has passed', async (t) => {
  const configuration = buildSizedConfiguration(1);
  t.ok(verifyHash(configuration));
  t.ok(verifyHash(configuration), 'a second check of the same object');
  t.notOk(verifyHash({ ...configuration, routes: [] }));
  t.notOk(verifyHash({ ...configuration, contentHash: new Uint8Array(32) }));
});
