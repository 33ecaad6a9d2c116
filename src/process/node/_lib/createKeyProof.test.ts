import tap from 'tap';

import createKeyProof from './createKeyProof.js';

// Guards against a node that is cut off and goes on to accept keys for longer than is allowed.
tap.test('keys are accepted until the confirmation is too old', async (t) => {
  let ageMs = Infinity;
  const readLeftMs = createKeyProof({ maxAgeMs: 4_000, readAgeMs: () => ageMs });
  t.ok(readLeftMs() <= 0, 'never confirmed');
  ageMs = 1_000;
  t.equal(readLeftMs(), 3_000);
  ageMs = 4_000;
  t.ok(readLeftMs() <= 0);
});

tap.test('without a bound keys are accepted whatever the age is', async (t) => {
  const readLeftMs = createKeyProof({ maxAgeMs: undefined, readAgeMs: () => Infinity });
  t.equal(readLeftMs(), Infinity);
});
