/** A bundled node whose callers send many lookups ahead and don't read the answers. */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Agent, request as sendOnConnection } from 'node:http';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import {
  PlatformCluster,
  createConfigurationDocument,
  readRuntimeOptions,
} from '../../stand-ins/platform/index.js';

const CONTROL_IP = '127.0.171.1';
const NODE_IPS = ['127.0.172.1', '127.0.172.2'];
const SERVICES = ['desk', 'ledger'];
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_BYTES = 250 * 1_048_576;
const BYTES_PER_MB = 1_048_576;
const LOOKUPS_AHEAD = 400;
const OTHER_CONNECTIONS = 6;
const OTHER_PAUSE_MS = 75;
const PHASE_MS = 6_000;
/** Time in which the other callers must be served again after those ahead have left. */
const RECOVERY_MS = 2_000;
const DEADLINE_MS = 2_000;
/** Share of the lookups served without others that has to be served beside them. */
const MIN_SERVED_SHARE = 0.5;
/** Requests that servers may still start, as their callers' departure is being read. */
const MAX_LATE_RUNS = 32;
/** Processor time after the departure, which includes closing the connections, to that at rest. */
const MAX_PROCESSOR_RATIO = 4;
const TCP_LOCAL_COLUMN = 1;
const TCP_QUEUES_COLUMN = 4;

const createLookup = (service: string): string =>
  [
    `GET /${service}/1 HTTP/1.1`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`],
    `Deadline-Remaining: ${DEADLINE_MS}`,
    ...['', ''],
  ].join('\r\n');

/** Opens connections with many lookups each, of which nothing is read. */
const sendAhead = (outbound: string, count: number): Socket[] => {
  const [host = '', port] = outbound.split(':');
  return Array.from({ length: count }, (_, index) => {
    const socket = connect(Number(port), host);
    socket.on('error', () => undefined);
    socket.pause();
    const service = SERVICES[index % SERVICES.length] ?? '';
    socket.write(Array.from({ length: LOOKUPS_AHEAD }, () => createLookup(service)).join(''));
    return socket;
  });
};

/** Sends a lookup on a kept connection; returns the status, or 0 without an answer. */
const lookUp = (outbound: string, service: string, agent: Agent): Promise<number> =>
  new Promise((resolve) => {
    const [host, port] = outbound.split(':');
    const sent = sendOnConnection({
      ...{ host, port, agent, path: `/${service}/1`, timeout: DEADLINE_MS },
      headers: {
        ...{ host: 'shop.example', 'attempt-id': randomUUID() },
        'deadline-remaining': String(DEADLINE_MS),
      },
    });
    sent.on('response', (response) => {
      response.resume();
      response.once('end', () => resolve(response.statusCode ?? 0));
    });
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(0));
    sent.end();
  });

const sum = (numbers: number[]): number => numbers.reduce((total, next) => total + next, 0);

interface Served {
  count: number;
  unserved: number;
  slowestMs: number;
}

/** Sends lookups one after the other on some kept connections, for a time. */
const lookUpFor = async (outbound: string, durationMs: number): Promise<Served> => {
  const endsAtMs = performance.now() + durationMs;
  const served = { count: 0, unserved: 0, slowestMs: 0 };
  const run = async (agent: Agent, service: string): Promise<void> => {
    while (performance.now() < endsAtMs) {
      const startedAtMs = performance.now();
      const status = await lookUp(outbound, service, agent);
      served.slowestMs = Math.max(served.slowestMs, Math.round(performance.now() - startedAtMs));
      if (status === 200) served.count += 1;
      else served.unserved += 1;
      await sleep(OTHER_PAUSE_MS);
    }
    agent.destroy();
  };
  await Promise.all(
    Array.from({ length: OTHER_CONNECTIONS }, (_, index) =>
      run(new Agent({ keepAlive: true, maxSockets: 1 }), SERVICES[index % SERVICES.length] ?? ''),
    ),
  );
  return served;
};

/** Returns how many bytes wait unread on the sockets of an address, in the kernel. */
const readUnreadBytes = async (address: string): Promise<number> => {
  const [ip = '', port] = address.split(':');
  const hexIp = ip
    .split('.')
    .reverse()
    .map((part) => Number(part).toString(16).padStart(2, '0'));
  const local = `${hexIp.join('')}:${Number(port).toString(16).padStart(4, '0')}`.toUpperCase();
  const table = await readFile('/proc/net/tcp', 'utf8');
  return table
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter((columns) => columns[TCP_LOCAL_COLUMN] === local)
    .map((columns) => parseInt((columns[TCP_QUEUES_COLUMN] ?? '').split(':')[1] ?? '0', 16))
    .reduce((total, bytes) => total + bytes, 0);
};

[100, 300].forEach((callerCount) => {
  // Guards against callers who send many requests ahead and take the turns, deadlines or memory of others.
  tap.test(`others are served beside ${callerCount} callers with lookups ahead`, async (t) => {
    const platform = new PlatformCluster({
      controlIps: [CONTROL_IP],
      nodeIps: NODE_IPS,
      services: SERVICES,
      zones: ['zone-a'],
      machine: { isBundled: true, runtimeOptions: await readRuntimeOptions() },
    });
    t.teardown(() => platform.stop());
    await platform.start();
    await platform.applyConfiguration(createConfigurationDocument(1, 0, SERVICES));
    await platform.waitUntilServing();
    const [node] = platform.nodes;
    if (!node) throw new Error('there is no node');
    const outbound = node.address('outbound');
    const measure = async (durationMs: number): Promise<Served & { processorMs: number }> => {
      const beforeMs = await node.readProcessorMs();
      const served = await lookUpFor(outbound, durationMs);
      return { ...served, processorMs: (await node.readProcessorMs()) - beforeMs };
    };
    const alone = await measure(PHASE_MS);
    const restBytes = await node.readPeakResidentBytes();
    const ahead = sendAhead(outbound, callerCount);
    await sleep(100);
    const unread: number[] = [];
    const watch = setInterval(() => {
      readUnreadBytes(outbound).then(
        (bytes) => unread.push(bytes),
        () => undefined,
      );
    }, 250);
    const beside = await measure(PHASE_MS);
    clearInterval(watch);
    ahead.forEach((socket) => socket.destroy());
    const runsBefore = platform.workers.map(({ runs }) => runs.length);
    const after = await measure(RECOVERY_MS);
    const runsAfter = platform.workers.map(({ runs }) => runs.length);
    const later = await measure(RECOVERY_MS);
    const peakBytes = await node.readPeakResidentBytes();
    const maxUnreadBytes = Math.max(...unread);
    const figures = {
      ...{ alone, beside, after, later, runsBefore, runsAfter },
      ...{ restMb: restBytes / BYTES_PER_MB, peakMb: peakBytes / BYTES_PER_MB },
      maxUnreadMb: maxUnreadBytes / BYTES_PER_MB,
    };
    t.comment(JSON.stringify(figures));
    t.ok(beside.count >= alone.count * MIN_SERVED_SHARE, `${beside.count} of ${alone.count}`);
    t.ok(beside.slowestMs < DEADLINE_MS, `slowest beside: ${beside.slowestMs} ms`);
    t.equal(after.unserved, 0, 'served after they have left');
    const lateRuns = sum(runsAfter) - sum(runsBefore) - after.count;
    t.ok(lateRuns <= MAX_LATE_RUNS, `${lateRuns} requests ran after their callers had left`);
    t.ok(
      after.processorMs < later.processorMs * MAX_PROCESSOR_RATIO,
      `${after.processorMs} ms of processor time, ${later.processorMs} ms later`,
    );
    t.ok(after.slowestMs < DEADLINE_MS / 2, `slowest after: ${after.slowestMs} ms`);
    const totalMb = Math.round((peakBytes + maxUnreadBytes) / BYTES_PER_MB);
    t.ok(peakBytes + maxUnreadBytes < MEMORY_LIMIT_BYTES, `${totalMb} MB`);
  });
});
