import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';
import tap from 'tap';

import type { Test } from 'tap';
import waitFor from '../waitFor/index.js';
import PlatformWorker from './PlatformWorker.js';

const FIRST_NETWORK = 77;
const WORK_MS = 400;

/** Starts a worker; each test has an address of its own, so that no connection to an earlier one is left. */
const startWorker = async (t: Test, index: number) => {
  const ip = `127.0.${FIRST_NETWORK + index}.${1 + (process.pid % 250)}`;
  const address = `${ip}:8761`;
  const worker = new PlatformWorker({
    ...{ instanceId: 'i-0', service: 'desk', zone: 'zone-a', address },
    // No node listens there; heartbeats are not needed.
    ...{ control: `${ip}:8144`, slots: 1, queueLength: 1, workMs: WORK_MS },
  });
  t.teardown(() => worker.stop());
  await worker.start();
  return { worker, address };
};

const send = async (address: string, id: string, signal?: AbortSignal): Promise<string> => {
  const reply = await request(`http://${address}/desk/1`, {
    headers: { 'attempt-id': id },
    ...(signal && { signal }),
  });
  await reply.body.dump();
  return `${reply.statusCode}${reply.headers['not-executed'] === undefined ? '' : ' not executed'}`;
};

const countRuns = (worker: PlatformWorker): number => worker.runs.length;

// Guards against workers that are never full, which hide how nodes treat a second choice.
tap.test('a worker queues what has no slot, and rejects what has no place', async (t) => {
  const { worker, address } = await startWorker(t, 0);
  const first = send(address, 'first');
  await waitFor('the first run', () => countRuns(worker) === 1);
  const others = await Promise.all([send(address, 'second'), send(address, 'third')]);
  t.strictSame(others.sort(), ['200', '503 not executed']);
  t.equal(await first, '200');
  t.equal(countRuns(worker), 2);
  const [one, other] = worker.runs.map(({ atMs }) => atMs);
  t.ok((other ?? 0) - (one ?? 0) >= WORK_MS - 1, 'the second runs after the first');
});

// Guards against slots that are lost or freed twice when callers leave.
tap.test('a request whose caller leaves frees its slot or its place', async (t) => {
  const { worker, address } = await startWorker(t, 1);
  const leaving = new AbortController();
  const first = send(address, 'first', leaving.signal);
  await waitFor('the first run', () => countRuns(worker) === 1);
  const ends = Promise.allSettled([first, send(address, 'second', leaving.signal)]);
  await sleep(WORK_MS / 4);
  leaving.abort();
  const statuses = (await ends).map(({ status }) => status);
  t.strictSame(statuses, ['rejected', 'rejected']);
  t.equal(await send(address, 'third'), '200');
  t.strictSame(
    worker.runs.map(({ attemptId }) => attemptId),
    ['first', 'third'],
  );
});
