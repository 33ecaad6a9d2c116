import tap from 'tap';

import memoizeLatest from './index.js';

// Guards against a copy of the same large result for each concurrent reader, and against a stale one.
tap.test('a result is shared until the argument is another object', (t) => {
  const double = memoizeLatest(({ value }: { value: number }) => ({ value: value * 2 }));
  const first = { value: 1 };
  const second = { value: 2 };
  t.equal(double(first), double(first));
  t.strictSame(double(second), { value: 4 });
  t.strictSame(double(first), { value: 2 });
  t.end();
});
