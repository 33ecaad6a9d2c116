import { once } from 'node:events';
import { mkdtempSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import tap from 'tap';
import { request } from 'undici';

import type { AddressInfo, Socket } from 'node:net';
import { FaultProxy, LinkFault } from '../../faultProxy/index.js';
import waitFor from '../../waitFor/index.js';
import findClient from './findClient.js';
import ManagedProcess from './ManagedProcess.js';

tap.test('a link fault hits the named process only, so a partition has two sides', async (t) => {
  const seen = { announcements: 0, others: 0 };
  const node = createServer((incoming, response) => {
    if (incoming.method === 'PUT') seen.announcements += 1;
    else seen.others += 1;
    response.end();
  });
  await new Promise<void>((resolve) => {
    node.listen(0, '127.0.0.1', resolve);
  });
  const processes: ManagedProcess[] = [];
  const proxy = new FaultProxy(`127.0.0.1:${(node.address() as AddressInfo).port}`, {
    identifyClient: async (clientPort, proxyPort) =>
      (await findClient(clientPort, proxyPort, processes))?.name,
  });
  const address = await proxy.start();
  const folder = mkdtempSync(join(tmpdir(), 'find-client-'));
  const script = 'dist/stand-ins/backendServer/main.js';
  const flags = ['--server-id', 's1', '--service', 'order-desk', '--lease-ms', '200'];
  const files = ['--record-file', join(folder, 'records'), '--node-url', `http://${address}`];
  const server = new ManagedProcess('s1', [script, ...flags, ...files], join(folder, 'log'));
  processes.push(server);
  t.teardown(async () => {
    await server.kill();
    await proxy.stop();
    node.closeAllConnections();
    node.close();
  });
  server.start();
  await waitFor('announcement', () => seen.announcements >= 2);
  proxy.setLink({ fault: LinkFault.HalfOpen }, { client: 's1' });
  const before = seen.announcements;
  for (let count = 0; count < 3; count += 1) {
    const response = await request(`http://${address}/`, { signal: AbortSignal.timeout(30_000) });
    await response.body.dump();
  }
  t.equal(seen.others, 3);
  t.ok(seen.announcements <= before + 1, 'at most an announcement that was already past the proxy');
  proxy.setLink();
  await waitFor('announcement after the fault', () => seen.announcements > before + 1);
});

// Guards against a client that is not found, so that no fault hits it, because it closes another file.
tap.test('a client is found while it opens and closes files', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'find-client-'));
  const target = createServer();
  await new Promise<void>((resolve) => {
    target.listen(0, '127.0.0.1', resolve);
  });
  const { port } = target.address() as AddressInfo;
  const script = `
    const { closeSync, openSync } = require('node:fs');
    require('node:net').connect(${port}, '127.0.0.1');
    const churn = () => {
      Array.from({ length: 200 }, () => openSync('/dev/null')).forEach((file) => closeSync(file));
      setImmediate(churn);
    };
    churn();`;
  const client = new ManagedProcess('churn', ['-e', script], join(folder, 'log'));
  t.teardown(async () => {
    await client.kill();
    target.closeAllConnections();
    target.close();
  });
  const connected = once(target, 'connection');
  client.start();
  const [socket] = (await connected) as [Socket];
  const found = await Promise.all(
    Array.from({ length: 50 }, () => findClient(socket.remotePort ?? 0, port, [client])),
  );
  t.equal(found.filter((one) => one === client).length, 50);
});

tap.test('a paused process answers nothing and continues after it is resumed', async (t) => {
  const folder = mkdtempSync(join(tmpdir(), 'managed-process-'));
  const ticker = "setInterval(() => console.log('tick'), 10)";
  const managed = new ManagedProcess('ticker', ['-e', ticker], join(folder, 'log'));
  t.teardown(() => managed.kill());
  managed.start();
  const countTicks = () => managed.readLog().split('\n').length;
  await waitFor('ticks', () => countTicks() > 3);
  managed.pause();
  const paused = await waitFor('pause', () => {
    const state = managed.readState();
    return state === 'T' && countTicks();
  });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  t.equal(countTicks(), paused);
  managed.resume();
  await waitFor('ticks after the pause', () => countTicks() > paused);
});
