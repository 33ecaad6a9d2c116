import { once } from 'node:events';
import { connect, createServer } from 'node:net';

import tap from 'tap';
import type { AddressInfo, Socket } from 'node:net';

import closeInOrder from './index.js';

/** Returns both ends of a connection. */
const openConnection = async (): Promise<{ near: Socket; far: Socket; close: () => void }> => {
  const server = createServer({ allowHalfOpen: true });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const far = connect({ port: (server.address() as AddressInfo).port, allowHalfOpen: true });
  const [near] = (await once(server, 'connection')) as [Socket];
  return { near, far, close: () => server.close() };
};

// Guards against a reset that takes the response from a caller that is still sending.
tap.test('a caller that still sends gets all bytes and no reset', async (t) => {
  const { near, far, close } = await openConnection();
  t.teardown(close);
  near.resume();
  let received = '';
  far.on('data', (chunk: Buffer) => {
    received += chunk.toString();
  });
  near.write('response');
  closeInOrder(near);
  far.write('rest of the request');
  await once(far, 'end');
  far.end('and its end');
  const [hadError] = (await once(far, 'close')) as [boolean];
  t.notOk(hadError);
  t.equal(received, 'response');
});

// Guards against connections that stay open because the caller never closes them.
tap.test('a caller that does not close its side is disconnected after a second', async (t) => {
  const { near, far, close } = await openConnection();
  t.teardown(close);
  t.teardown(() => far.destroy());
  near.resume();
  far.resume();
  const startedAtMs = performance.now();
  closeInOrder(near);
  await once(near, 'close');
  const elapsedMs = performance.now() - startedAtMs;
  t.ok(elapsedMs >= 900 && elapsedMs < 10_000, `${Math.round(elapsedMs)} ms`);
});
