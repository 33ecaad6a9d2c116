/** Requests at a node whose worker has answered one request with bytes that are no response. */
import { randomUUID } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';

import createConfiguration from '../stand-ins/configuration.js';
import exchange from '../stand-ins/exchange.js';
import runCase from '../stand-ins/runCase.js';

const SERVICES = ['desk', 'ledger'];
/** Node beside the faulty worker. */
const AFFECTED = 0;
const FAULTY_PATH = '/desk/faulty';
/** `timeout` of the routes, and the time after it in which the pages want an answer. */
const ROUTE_TIMEOUT_MS = 2_000;
const LATE_MS = ROUTE_TIMEOUT_MS + 500;
const CLIENT_DEADLINE_MS = 8_000;
const ORDERS = 60;
const ORDER_INTERVAL_MS = 100;
/** Longest time for which the node is watched afterwards. */
const WATCH_MS = 40_000;

/** Answers with three digits that are no HTTP status; the connection stays open. */
const answerWithoutStatus = ({ request, response, run }) => {
  request.resume();
  const lines = ['HTTP/1.1 099 Odd', `Attempt-Id: ${run.attemptId}`, 'Content-Length: 2'];
  response.socket.write(`${lines.join('\r\n')}\r\n\r\nok`);
};

const createHeaders = () => ({
  host: 'shop.example',
  'attempt-id': randomUUID().slice(0, 16),
  'deadline-remaining': CLIENT_DEADLINE_MS,
});

/** Sends a short order for sound workers and waits until it is answered or its deadline has passed. */
const sendOrder = async (node, index, note) => {
  const headers = createHeaders();
  const sentAtMs = performance.now();
  const { status, error } = await exchange(node.address('outbound'), {
    ...{ method: 'POST', path: `/ledger/orders/${index}`, headers, body: 'one bundle' },
    timeoutMs: CLIENT_DEADLINE_MS,
  });
  const tookMs = Math.round(performance.now() - sentAtMs);
  note(`${headers['attempt-id']} POST to ${node.name}: ${status ?? error} after ${tookMs} ms`);
  return { isAtTimeout: tookMs > ROUTE_TIMEOUT_MS, isLate: tookMs > LATE_MS };
};

await runCase(
  fileURLToPath(new URL('.', import.meta.url)),
  async ({ system, isTroubled, note }) => {
    await system.start([...SERVICES, ...SERVICES, ...SERVICES], (index) => ({
      handle: (call) => {
        const { request, response, run, worker } = call;
        worker.runs.push(run);
        const isFaulty = isTroubled && index === AFFECTED && run.path === FAULTY_PATH;
        if (isFaulty) answerWithoutStatus(call);
        else {
          request.resume();
          setTimeout(() => worker.answer(response, run.attemptId, `${worker.id} ${run.path}`), 20);
        }
      },
    }));
    note(`configuration: ${await system.replaceConfiguration(createConfiguration(SERVICES))}`);
    await system.waitUntilServing();
    // Nodes count as in touch three seconds after their start.
    await sleep(3_500);

    const node = system.nodes[AFFECTED];
    // One lookup at each desk worker's own node, so that the faulty worker gets one of them.
    const lookups = [0, 2, 4].map((index) =>
      exchange(system.nodes[index].address('outbound'), {
        ...{ path: FAULTY_PATH, headers: createHeaders(), timeoutMs: CLIENT_DEADLINE_MS },
      }).then(({ status, error }) =>
        note(`lookup at ${system.nodes[index].name}: ${status ?? error}`),
      ),
    );
    await sleep(200);
    const orders = [];
    for (let index = 0; index < ORDERS; index += 1) {
      orders.push(sendOrder(node, index, note));
      await sleep(ORDER_INTERVAL_MS);
    }
    const sent = await Promise.all(orders);
    await Promise.all(lookups);
    const faulty = system.workers[AFFECTED].runs.filter(({ path }) => path === FAULTY_PATH);
    note(
      `requests that ${system.workers[AFFECTED].id} answered so: ${isTroubled ? faulty.length : 0}`,
    );
    const watchEndMs = performance.now() + WATCH_MS;
    let readiness;
    while (readiness === undefined && performance.now() < watchEndMs) {
      ({ status: readiness } = await exchange(node.address('ready'), { path: '/-/readiness' }));
    }
    note(`process ${node.pid} runs: ${node.isRunning}, answer to GET /-/readiness: ${readiness}`);
    const others = system.nodes.filter((other) => other !== node);
    const readyOthers = await Promise.all(others.map((other) => system.isReady(other)));
    note(`other nodes ready: ${readyOthers.filter(Boolean).length} of ${others.length}`);
    const unanswered = sent.filter(({ isAtTimeout }) => isAtTimeout);
    const late = sent.filter(({ isLate }) => isLate);
    note(`orders sent: ${sent.length}, unanswered at the timeout: ${unanswered.length}`);
    note(`of these without an answer 0.5 s later: ${late.length}`);
    return late.length >= 8 && late.length > unanswered.length / 2;
  },
);
