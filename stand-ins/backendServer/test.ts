import { mkdtempSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import tap from 'tap';

import { request } from 'undici';

import type { AddressInfo } from 'node:net';
import type { Test } from 'tap';
import { RecordingClient, RequestOutcome } from '../recordingClient/index.js';
import { BackendFault, BackendServer, ProbeBehaviour, readExecutions } from './index.js';

import type { RequestSpec } from '../recordingClient/index.js';
import type { BackendServerOptions } from './index.js';

const QUERY: RequestSpec = { method: 'GET', path: '/stock', isIdempotent: true };
const ORDER: RequestSpec = { method: 'POST', path: '/orders', body: 'x', isIdempotent: false };

const startServer = async (t: Test, options: Partial<BackendServerOptions> = {}) => {
  const recordFile = join(mkdtempSync(join(tmpdir(), 'backend-')), 'records');
  const server = new BackendServer({
    serverId: 's1',
    service: 'order-desk',
    recordFile,
    terminate: () => undefined,
    drainMs: 0,
    ...options,
  });
  await server.start();
  const client = new RecordingClient({ timeoutMs: 5_000 });
  t.teardown(async () => {
    await client.close();
    await server.drain();
  });
  return { server, client, url: `http://127.0.0.1:${server.port}`, recordFile };
};

tap.test('a request above the slot limit is refused with not-run and never recorded', async (t) => {
  const { client, url, recordFile } = await startServer(t, { slots: 2, serviceMs: 200 });
  const sent = await Promise.all(Array.from({ length: 5 }, () => client.send(url, ORDER)));
  const answered = sent.filter((one) => one.outcome === RequestOutcome.Answered);
  const refused = sent.filter((one) => one.outcome === RequestOutcome.NotRun);
  t.equal(answered.length, 2);
  t.equal(refused.length, 3);
  const executed = new Set(readExecutions(recordFile).map((record) => record.requestId));
  t.strictSame([...executed].sort(), answered.map((one) => one.requestId).sort());
});

tap.test('each fault produces its status or connection error at the caller', async (t) => {
  const { server, client, url } = await startServer(t);
  const sendWith = async (fault: BackendFault) => {
    server.setFaults({ fault });
    const { outcome, status } = await client.send(url, ORDER);
    return { outcome, status };
  };
  const broken = { outcome: RequestOutcome.ConnectionError, status: 0 };
  const other = RequestOutcome.OtherStatus;
  t.strictSame(await sendWith(BackendFault.FailAll), { outcome: other, status: 500 });
  t.strictSame(await sendWith(BackendFault.CloseWhileReading), broken);
  t.strictSame(await sendWith(BackendFault.RespondBeforeBody), { outcome: other, status: 413 });
  t.equal((await sendWith(BackendFault.None)).outcome, RequestOutcome.Answered);
});

tap.test('a passed deadline and a cancelled request free their slot', async (t) => {
  const { client, server, url } = await startServer(t, { slots: 1, serviceMs: 60_000 });
  const late = await client.send(url, { ...QUERY, headers: { 'foxtailvane-deadline-ms': '20' } });
  t.equal(late.status, 504);
  await t.rejects(request(`${url}/stock`, { signal: AbortSignal.timeout(100) }));
  while (server.describe().inFlight !== 0) await new Promise(setImmediate);
});

tap.test('a false probe reports a server as healthy while every request fails', async (t) => {
  const { server, client, url } = await startServer(t);
  server.setFaults({ fault: BackendFault.FailAll, probes: ProbeBehaviour.AlwaysHealthy });
  const health = await request(`${url}/health`);
  t.equal(health.statusCode, 200);
  await health.body.dump();
  t.equal((await client.send(url, QUERY)).status, 500);
});

tap.test('the server announces itself, renews, announces draining and leaves', async (t) => {
  const calls: string[] = [];
  const node = createServer((incoming, response) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const body = Buffer.concat(chunks).toString();
      const state = body === '' ? '' : (JSON.parse(body) as { state: string }).state;
      calls.push(`${incoming.method} ${incoming.url} ${state}`.trim());
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    node.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => node.close());
  const nodeUrl = `http://127.0.0.1:${(node.address() as AddressInfo).port}`;
  const { server } = await startServer(t, { nodeUrl, leaseMs: 100 });
  while (calls.length < 3) await new Promise(setImmediate);
  await server.drain();
  t.equal(calls[0], 'PUT /v1/servers/s1 serving');
  t.equal(calls[2], 'PUT /v1/servers/s1 serving');
  t.match(calls.slice(-2), ['PUT /v1/servers/s1 draining', 'DELETE /v1/servers/s1']);
});

tap.test('a nested call has its own request ID, and its failure is returned as 502', async (t) => {
  const inner = await startServer(t, { serviceMs: 0 });
  const nestedUrl = `${inner.url}/inner`;
  const outer = await startServer(t, { serverId: 's2', serviceMs: 0, nestedUrl });
  const headers = { 'x-call-depth': '1', 'foxtailvane-deadline-ms': '20000' };
  const sent = await outer.client.send(outer.url, { ...QUERY, headers });
  t.equal(sent.outcome, RequestOutcome.Answered);
  const nested = readExecutions(inner.recordFile).map(({ requestId, path }) => [requestId, path]);
  t.strictSame(nested[0], [`${sent.requestId}.1`, '/inner']);
  inner.server.setFaults({ fault: BackendFault.FailAll });
  t.equal((await outer.client.send(outer.url, { ...QUERY, headers })).status, 502);
});

tap.test('a cold server is slower than a warm one', async (t) => {
  const { client, url } = await startServer(t, {
    serviceMs: 10,
    coldStartMs: 60_000,
    coldFactor: 20,
  });
  t.ok((await client.send(url, QUERY)).latencyMs >= 150);
});
