/** Requests to a worker that deregistered soon after a restart of the node beside it. */
import { randomUUID } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

import createConfiguration from '../stand-ins/configuration.js';
import exchange from '../stand-ins/exchange.js';
import runCase from '../stand-ins/runCase.js';

const SERVICES = ['desk', 'ledger'];
/** One of ten nodes, which is restarted, and the worker beside it. */
const LEAVING = 2;
/** Bounds of the deployment: `drain` and `contact`. */
const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** Time for which the worker goes on to serve after it has deregistered. */
const SERVING_MS = 12_000;
/** Time by which its last heartbeat is late. */
const LATENESS_MS = 2_500;
const REQUEST_INTERVAL_MS = 50;

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async ({ system, isTroubled, note }) => {
    await system.start(Array.from({ length: 10 }, (_, index) => SERVICES[index % 2]));
    note(`configuration: ${await system.replaceConfiguration(createConfiguration(SERVICES))}`);
    await system.waitUntilServing();
    // Nodes count as in touch three seconds after their start.
    await sleep(CONTACT_MS + 500);

    const node = system.nodes[LEAVING];
    const worker = system.workers[LEAVING];
    const entries = system.nodes.filter((other) => other !== node);
    const sentAtMs = new Map();
    const answers = [];
    const sendLookup = (turn) => {
      const attemptId = randomUUID().slice(0, 16);
      const headers = { host: 'shop.example', 'attempt-id': attemptId };
      sentAtMs.set(attemptId, performance.now());
      const answer = exchange(entries[turn % entries.length].address('outbound'), {
        path: `/desk/${turn}`,
        headers: { ...headers, 'deadline-remaining': '2000' },
        timeoutMs: 2_500,
      }).then(({ status, error }) => note(`${attemptId} ${status ?? error}`));
      answers.push(answer);
    };
    let turn = 0;
    const load = setInterval(() => {
      turn += 1;
      sendLookup(turn);
    }, REQUEST_INTERVAL_MS);

    let inTouchFromMs = 0;
    worker.stopHeartbeats();
    if (isTroubled) {
      note('node beside the worker is killed');
      await node.signal('SIGKILL');
      await node.start({ isFirstStart: false });
      inTouchFromMs = performance.now() + CONTACT_MS;
      note('node is started again');
    }
    await system.waitUntilReady([node]);
    const heartbeat = worker.createHeartbeat();
    setTimeout(async () => {
      note(`heartbeat ${heartbeat.sequence}, late: ${await worker.sendHeartbeat(heartbeat)}`);
    }, LATENESS_MS);
    await sleep(300);
    worker.isLeaving = true;
    note(`deregistration: ${await worker.deregister()}`);
    const acknowledgedAtMs = performance.now();
    await sleep(SERVING_MS);
    clearInterval(load);
    await Promise.all(answers);
    await worker.stop();

    const countedFromMs = Math.max(acknowledgedAtMs + DRAIN_MS, inTouchFromMs);
    const late = worker.runs.filter(({ attemptId }) => sentAtMs.get(attemptId) > countedFromMs);
    late.forEach(({ attemptId }) => {
      const afterMs = Math.round(sentAtMs.get(attemptId) - acknowledgedAtMs);
      note(`${attemptId} run by ${worker.id}, sent ${afterMs} ms after the acknowledgement`);
    });
    note(`sent: ${sentAtMs.size}, run by the worker that left: ${late.length}`);
    return late.length > 0;
  },
);
