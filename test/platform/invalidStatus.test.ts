/** Runs the bundled platform programs beside a worker whose answers have no valid status. */
import tap from 'tap';

import {
  PlatformCluster,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

import type { WorkerRun } from '../../stand-ins/platform/PlatformWorker.js';

const CONTROL_IP = '127.0.77.1';
const NODE_IPS = ['127.0.78.1', '127.0.78.2'];
const SERVICES = ['desk', 'ledger'];
const [FAULTY_SERVICE = '', SOUND_SERVICE = ''] = SERVICES;
/** `timeout` of the routes, within which each request is answered. */
const ROUTE_TIMEOUT_MS = 2_000;
const ORDERS = 5;

const createInvalidAnswer = ({ attemptId, path }: WorkerRun): string | undefined => {
  const status = path.split('/').at(-1) ?? '';
  const lines = [`HTTP/1.1 ${status} Odd`, `Attempt-Id: ${attemptId}`, 'Content-Length: 2'];
  return /^\d{3}$/.test(status) ? `${lines.join('\r\n')}\r\n\r\nok` : undefined;
};

// Guards against a process that stops serving because it words the message of a failed assertion.
tap.test('a node whose server answers with an invalid status serves on', async (t) => {
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true },
    findWorkerOptions: () => ({ findRawAnswer: createInvalidAnswer }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createConfigurationDocument(1, 0, SERVICES));
  await platform.waitUntilServing();
  const [node] = platform.nodes;
  const outbound = node?.address('outbound') ?? '';
  const send = (path: string, method: 'GET' | 'POST' = 'GET') =>
    sendAttempt(outbound, { path, method, remainingMs: ROUTE_TIMEOUT_MS });

  const checkInvalid = async (status: string): Promise<void> => {
    const startedAtMs = performance.now();
    const invalid = send(`/${FAULTY_SERVICE}/${status}`);
    await waitFor('run of the request', () =>
      Promise.resolve(platform.workers[0]?.runs.some(({ path }) => path.endsWith(status)) === true),
    );
    const orders = Array.from({ length: ORDERS }, (_, index) =>
      send(`/${SOUND_SERVICE}/orders/${index}`, 'POST'),
    );
    const statuses = (await Promise.all(orders)).map((reply) => reply.status);
    t.strictSame([...new Set(statuses)], [200], `orders after an answer with status ${status}`);
    // A request that may have run and has no valid answer is never called not run.
    t.match(String((await invalid).status), /^50[24]$/);
    const elapsedMs = Math.round(performance.now() - startedAtMs);
    t.ok(elapsedMs < 2 * ROUTE_TIMEOUT_MS, `${elapsedMs} ms`);
  };
  await checkInvalid('099');
  await checkInvalid('101');
  // Guards against an answer whose status is none, which reached callers as it was.
  await checkInvalid('000');
  await checkInvalid('600');
  await checkInvalid('999');
});
