import tap from 'tap';

import { computeMajority, computeQuorumValue } from './index.js';

tap.test('half of an even number of voters is no majority', async (t) => {
  t.strictSame([1, 2, 3, 4, 5, 6, 7].map(computeMajority), [1, 2, 2, 3, 3, 4, 4]);
});

tap.test('an entry is committed only when a majority holds it', async (t) => {
  t.equal(computeQuorumValue([9, 9, 4]), 9);
  t.equal(computeQuorumValue([9, 4, 4, 9]), 4, 'two of four are not enough');
  t.equal(computeQuorumValue([7]), 7);
  t.equal(computeQuorumValue([]), -Infinity, 'without voters nothing is committed');
});
