import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import shareReads from './shareReads.js';

const READ_MS = 20;

// Guards against a proxy that reads the table of all connections once per connection: with thousands of
// them it accepts fewer than are opened, and the table grows with those that wait.
tap.test('simultaneous calls share a read that begins after them', async (t) => {
  let version = 0;
  let readCount = 0;
  const read = shareReads(async () => {
    readCount += 1;
    const seen = version;
    await sleep(READ_MS);
    return seen;
  });
  const first = Array.from({ length: 100 }, () => read());
  await sleep(READ_MS / 2);
  version = 1;
  const second = Array.from({ length: 100 }, () => read());
  t.strictSame(new Set(await Promise.all(first)), new Set([0]));
  t.strictSame(new Set(await Promise.all(second)), new Set([1]));
  t.equal(readCount, 2);
});

// Guards against a failed read that all later calls wait for or share.
tap.test('a call after a failed read reads again', async (t) => {
  let isFailing = true;
  const read = shareReads(async () => {
    if (isFailing) throw new Error('cannot read');
    return 'table';
  });
  await t.rejects(read(), { message: 'cannot read' });
  isFailing = false;
  t.equal(await read(), 'table');
});
