import { createServer } from 'node:net';

import tap from 'tap';
import { Agent, request } from 'undici';

import type { AddressInfo } from 'node:net';
import type { Test } from 'tap';
import { FaultProxy, LinkFault } from './index.js';

const SEED = 11;
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789';

/** Starts a TCP target with a fixed HTTP response behind a proxy, and counts its requests. */
const startLink = async (t: Test) => {
  const seen = { requests: 0 };
  const target = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      seen.requests += 1;
      socket.write(ANSWER);
    });
  });
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  const proxy = new FaultProxy(`127.0.0.1:${(target.address() as AddressInfo).port}`, {
    seed: SEED,
  });
  const address = await proxy.start();
  const dispatcher = new Agent();
  t.teardown(async () => {
    await dispatcher.destroy();
    await proxy.stop();
    target.close();
  });
  const get = async (timeoutMs = 5_000): Promise<string> => {
    const response = await request(`http://${address}/`, {
      dispatcher,
      signal: AbortSignal.timeout(timeoutMs),
    });
    return response.body.text();
  };
  return { proxy, get, seen };
};

tap.test('a healthy link forwards all bytes', async (t) => {
  const { get, proxy } = await startLink(t);
  t.equal(await get(), '0123456789');
  t.equal(proxy.bytes.toClient, ANSWER.length);
});

tap.test('cut and reset links close open connections and refuse new ones', async (t) => {
  const { get, proxy } = await startLink(t);
  await get();
  proxy.setLink({ fault: LinkFault.Cut });
  await t.rejects(get());
  proxy.setLink({ fault: LinkFault.Reset });
  await t.rejects(get());
  proxy.setLink();
  t.equal(await get(), '0123456789');
});

tap.test(
  'a half-open link stays connected and delivers the response after the fault ends',
  async (t) => {
    const { get, proxy, seen } = await startLink(t);
    await get();
    proxy.setLink({ fault: LinkFault.HalfOpen });
    const waiting = get(60_000);
    await t.rejects(get(200), { name: 'TimeoutError' });
    t.equal(seen.requests, 1);
    proxy.setLink();
    t.equal(await waiting, '0123456789');
  },
);

tap.test('a one-way link delivers the request and holds the response back', async (t) => {
  const { get, proxy, seen } = await startLink(t);
  proxy.setLink({ fault: LinkFault.OnlyToTarget });
  const waiting = get(60_000);
  while (seen.requests === 0) await new Promise(setImmediate);
  proxy.setLink();
  t.equal(await waiting, '0123456789');
});

tap.test('a truncated response ends after the given number of bytes', async (t) => {
  const { get, proxy } = await startLink(t);
  proxy.setLink({ fault: LinkFault.Truncate, truncateBytes: ANSWER.length - 4 });
  await t.rejects(get());
  t.equal(proxy.bytes.toClient, ANSWER.length - 4);
});

tap.test('a delayed link adds at least the delay in each direction', async (t) => {
  const { get, proxy } = await startLink(t);
  proxy.setLink({ fault: LinkFault.Delay, delayMs: 50 });
  const startedAt = performance.now();
  await get();
  t.ok(performance.now() - startedAt >= 98);
});
