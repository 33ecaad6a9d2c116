import tap from 'tap';

import DrainWindow from './DrainWindow.js';

// Guards against requests that are passed on shortly before the process ends.
tap.test('requests must end within the drain from its second half on', async (t) => {
  const window = new DrainWindow(1_000, 6_000);
  t.equal(window.readLeftMs(1_000), Infinity);
  t.equal(window.readLeftMs(3_999), Infinity);
  t.equal(window.readLeftMs(4_000), 3_000);
  t.equal(window.readLeftMs(6_900), 100);
});

tap.test('a drain without a limit accepts all requests', async (t) => {
  t.equal(new DrainWindow(1_000, Infinity).readLeftMs(1_000_000), Infinity);
});
