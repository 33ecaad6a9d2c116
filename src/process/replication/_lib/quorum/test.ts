import tap from 'tap';

import { computeMajority, computeQuorumValue } from './index.js';

tap.test('a majority is more than half of the voters', async (t) => {
  t.strictSame([1, 2, 3, 4, 5, 6, 7].map(computeMajority), [1, 2, 2, 3, 3, 4, 4]);
});

tap.test('the quorum value is the highest that a majority has reached', async (t) => {
  t.equal(computeQuorumValue([9, 9, 4]), 9);
  t.equal(computeQuorumValue([9, 4, 4, 9]), 4, 'two of four voters are no majority');
  t.equal(computeQuorumValue([7]), 7);
  t.equal(computeQuorumValue([]), -Infinity, 'there is no quorum without voters');
});
