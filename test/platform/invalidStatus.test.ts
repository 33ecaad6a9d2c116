/** Runs the bundled platform programs beside a worker whose answers have no valid status. */
import tap from 'tap';

import {
  PlatformMachine,
  PlatformProgram,
  PlatformWorker,
  callControl,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

import type { WorkerRun } from '../../stand-ins/platform/PlatformWorker.js';

const ZONE = 'zone-a';
const CONTROL_IP = '127.0.77.1';
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
  const shared = { seedIps: [CONTROL_IP], zone: ZONE, isBundled: true };
  const control = new PlatformMachine({
    ...{ ...shared, program: PlatformProgram.Control, ip: CONTROL_IP },
  });
  const nodes = SERVICES.map(
    (service, index) =>
      new PlatformMachine({
        ...{ ...shared, program: PlatformProgram.Node, ip: `127.0.78.${index + 1}`, service },
      }),
  );
  const workers = nodes.map(
    (node, index) =>
      new PlatformWorker({
        ...{ instanceId: `i-${index}`, service: SERVICES[index] ?? '', zone: ZONE },
        ...{ address: node.address('app'), control: node.address('control') },
        findRawAnswer: createInvalidAnswer,
      }),
  );
  t.teardown(async () => {
    await Promise.all(workers.map((worker) => worker.stop()));
    await Promise.all([control, ...nodes].map((machine) => machine.remove()));
  });
  await Promise.all(workers.map((worker) => worker.start()));
  await Promise.all([control, ...nodes].map((machine) => machine.start()));
  const document = createConfigurationDocument(1, 0, SERVICES);
  await waitFor('acknowledged configuration', async () => {
    const reply = await callControl(control.address('control'), 'configuration.replace', document)
      // The control VM may not listen yet.
      .catch(() => undefined);
    return reply?.status === 200;
  });
  const [node] = nodes;
  const outbound = node?.address('outbound') ?? '';
  const send = (path: string, method: 'GET' | 'POST' = 'GET') =>
    sendAttempt(outbound, { path, method, remainingMs: ROUTE_TIMEOUT_MS });
  await waitFor('served requests of both services', async () => {
    const replies = await Promise.all(
      SERVICES.map((service) => send(`/${service}/1`).catch(() => undefined)),
    );
    return replies.every((reply) => reply?.status === 200);
  });

  const checkInvalid = async (status: string): Promise<void> => {
    const startedAtMs = performance.now();
    const invalid = send(`/${FAULTY_SERVICE}/${status}`);
    await waitFor('run of the request', () =>
      Promise.resolve(workers[0]?.runs.some(({ path }) => path.endsWith(status)) === true),
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
});
