/** Roll-outs on the platform programs as separate processes, under load. */
import tap from 'tap';
import type { Test } from 'tap';

import {
  PlatformMachine,
  PlatformProgram,
  PlatformWorker,
  callControl,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const CONTROL_IPS = ['127.0.73.1', '127.0.73.2', '127.0.73.3'];
const SERVICE = 'desk';
const OLD_COUNT = 3;
const NODE_COUNT = 6;
/** Pause of each client between two requests. */
const PAUSE_MS = 80;
/** Time to complete a good version. On a slow machine, servers warm up and steps commit seconds late. */
const DURATION_MS = 20_000;
/** The older version is used by nodes that learn of both at the same time. */
const START_DELAY_MS = 20;

const shared = { seedIps: CONTROL_IPS, contracts: ['rollout'], zone: 'zone-a' };

interface TestPlatform {
  controls: PlatformMachine[];
  old: PlatformWorker[];
  target: PlatformWorker[];
  statuses: number[];
  read: () => Promise<string>;
}

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const createWorker = (node: PlatformMachine, version: string, findStatus: () => number) =>
  new PlatformWorker({
    ...{ instanceId: `i-${node.ip}`, service: SERVICE, zone: 'zone-a', version, findStatus },
    ...{ address: node.address('app'), control: node.address('control') },
  });

const startPlatform = async (t: Test, findStatus: () => number): Promise<TestPlatform> => {
  const controls = CONTROL_IPS.map(
    (ip) => new PlatformMachine({ ...shared, program: PlatformProgram.Control, ip }),
  );
  const nodes = Array.from({ length: NODE_COUNT }, (_, index) => {
    const ip = `127.0.74.${index + 1}`;
    return new PlatformMachine({ ...shared, program: PlatformProgram.Node, ip, service: SERVICE });
  });
  const old = nodes.slice(0, OLD_COUNT).map((node) => createWorker(node, 'v1', () => 200));
  await sleep(START_DELAY_MS);
  const target = nodes.slice(OLD_COUNT).map((node) => createWorker(node, 'v2', findStatus));
  const workers = [...old, ...target];
  const stopping = new AbortController();
  const clients: Promise<void>[] = [];
  t.teardown(async () => {
    stopping.abort();
    await Promise.all(clients);
    await Promise.all(workers.map((worker) => worker.stop()));
    await Promise.all([...controls, ...nodes].map((machine) => machine.remove()));
  });
  await Promise.all(workers.map((worker) => worker.start()));
  await Promise.all([...nodes, ...controls].map((machine) => machine.start()));
  const [control = ''] = controls.map((machine) => machine.address('control'));
  const document = createConfigurationDocument(1, 0, [SERVICE]);
  await waitFor(
    'the configuration is accepted',
    async () => (await callControl(control, 'configuration.replace', document)).status === 200,
  );
  const isServed = async (node: PlatformMachine): Promise<boolean> =>
    (await sendAttempt(node.address('outbound'), { path: `/${SERVICE}/1` })).status === 200;
  await Promise.all(nodes.map((node) => waitFor('served', () => isServed(node))));
  const statuses: number[] = [];
  const runClient = async (outbound: string): Promise<void> => {
    while (!stopping.signal.aborted) {
      const path = statuses.length % 3 === 0 ? `/${SERVICE}/orders/1` : `/${SERVICE}/1`;
      const method = statuses.length % 3 === 0 ? 'POST' : 'GET';
      statuses.push((await sendAttempt(outbound, { path, method })).status);
      await sleep(PAUSE_MS);
    }
  };
  const addresses = nodes.map((node) => node.address('outbound'));
  clients.push(...[...addresses, ...addresses].map(runClient));
  const read = async (): Promise<string> => {
    const { status, body } = await callControl(control, `rollouts.read&of=${SERVICE}`);
    return status === 200 ? JSON.parse(body).state : String(status);
  };
  return { controls, old, target, statuses, read };
};

const printSteps = (t: Test, { controls }: TestPlatform): void => {
  const lines = controls.flatMap(
    ({ output }) => output.match(/"sharePermille":.*"time":\d+/g) ?? [],
  );
  lines.forEach((line) => t.comment(line));
};

/** Orders the roll-out; an operator repeats an order without a definite answer. */
const order = ({ controls }: TestPlatform, duration: string): Promise<boolean> => {
  const [control = ''] = controls.map((machine) => machine.address('control'));
  const document = { service: SERVICE, target_version: 'v2', duration };
  return waitFor(
    'the order is accepted',
    async () => (await callControl(control, 'rollouts.start', document)).status === 200,
  );
};

const countRuns = (workers: PlatformWorker[]): number =>
  workers.reduce((sum, { runs }) => sum + runs.length, 0);

// Guards against a bad version that is kept, or that gets more than its share of the requests.
tap.test('a version that fails a third of its requests is taken back', async (t) => {
  let answered = 0;
  const platform = await startPlatform(t, () => {
    answered += 1;
    return answered % 3 === 0 ? 500 : 200;
  });
  t.equal(countRuns(platform.target), 0, 'not before the order');
  const before = countRuns(platform.old);
  await order(platform, '15s');
  await waitFor('rolled back', async () => (await platform.read()) === 'rolled_back');
  await sleep(1_000);
  printSteps(t, platform);
  const exposed = countRuns(platform.target);
  const total = countRuns(platform.old) - before + exposed;
  t.ok(exposed > 0 && exposed <= 0.1 * total + NODE_COUNT, `${exposed} of ${total}`);
  t.comment(`${exposed} of ${total} requests at the target, ${Math.floor(answered / 3)} bad`);
  await sleep(2_000);
  t.equal(countRuns(platform.target), exposed, 'nothing after the rollback');
});

// Guards against a good version that is late or taken back, against lost requests, and against requests
// that are still at the old servers when these stop.
tap.test('a good version takes over, and the old servers stop at once', async (t) => {
  const platform = await startPlatform(t, () => 200);
  await order(platform, `${DURATION_MS}ms`);
  const orderedAtMs = performance.now();
  const ends = ['completed', 'rolled_back'];
  const state = await waitFor('decided', async () => {
    const read = await platform.read();
    return ends.includes(read) && read;
  });
  printSteps(t, platform);
  t.equal(state, 'completed');
  const durationMs = performance.now() - orderedAtMs;
  t.ok(durationMs < DURATION_MS, `${Math.round(durationMs)} ms`);
  t.comment(`completed after ${Math.round(durationMs)} ms`);
  const left = countRuns(platform.old);
  await Promise.all(platform.old.map((worker) => worker.stop()));
  await sleep(2_000);
  t.equal(countRuns(platform.old), left);
  const failed = platform.statuses.filter((status) => status !== 200);
  t.strictSame(failed, [], `of ${platform.statuses.length}`);
});
