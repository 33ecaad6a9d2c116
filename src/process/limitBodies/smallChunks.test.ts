import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import tap from 'tap';

import type { AddressInfo } from 'node:net';
import { limitBodies } from './index.js';

const MAX_BODY_BYTES = 65_536;
/** Limit that a node sets for the calls of servers. */
const MAX_HELD_BYTES = 1_048_576;
const CONNECTIONS = 15;
/** Sixteen times the limit on the held bytes. */
const MAX_GROWTH_BYTES = 16 * MAX_HELD_BYTES;
const SETTLE_MS = 4_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the size of the heap without what is no longer kept. */
const measureHeapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

// Guards against bodies that count by their bytes alone: one in chunks of one byte takes a hundred times
// as much, so that 100 heartbeats of 64 KB took a process to 365 MB.
tap.test('held bodies in chunks of one byte take little memory', async (t) => {
  const app = new Hono();
  app.use(
    limitBodies({
      findMaxBytes: () => MAX_BODY_BYTES,
      maxHeldBytes: MAX_HELD_BYTES,
      refuse: (context) => context.body(null, 503),
    }),
  );
  app.post('/', (context) => context.body(null, 200));
  const server = serve({ fetch: app.fetch, port: 0, hostname: '127.0.0.1' });
  await new Promise((resolve) => {
    server.once('listening', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const beforeBytes = measureHeapBytes();
  const callers = Array.from({ length: CONNECTIONS }, () => {
    const caller = connect(port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.write('POST / HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n');
    caller.write('1\r\nx\r\n'.repeat(MAX_BODY_BYTES - 1));
    return caller;
  });
  t.teardown(() => {
    callers.forEach((caller) => caller.destroy());
    server.close();
  });
  await sleep(SETTLE_MS);
  const growthBytes = measureHeapBytes() - beforeBytes;
  t.ok(growthBytes < MAX_GROWTH_BYTES, `${Math.round(growthBytes / 1e6)} MB`);
});
