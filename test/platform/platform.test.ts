/** Runs the platform programs as separate processes against a stand-in of the platform. */
import tap from 'tap';
import type { Test } from 'tap';

import { request } from 'undici';

import {
  PlatformCluster,
  callControl,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type { PlatformMachine } from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const CONTROL_IPS = ['127.0.71.1', '127.0.71.2', '127.0.71.3'];
const NODE_IPS = ['127.0.72.1', '127.0.72.2', '127.0.72.3', '127.0.72.4'];
const SERVICES = ['desk', 'ledger'];
/** Time after the acknowledged drain from which a worker must receive no request. */
const DRAIN_LIMIT_MS = 2_000;

const startPlatform = async (t: Test): Promise<PlatformCluster> => {
  const platform = new PlatformCluster({
    controlIps: CONTROL_IPS,
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ZONES,
  });
  t.teardown(() => platform.stop());
  await platform.start();
  return platform;
};

const isReady = async (node: PlatformMachine): Promise<boolean> => {
  const { statusCode, body } = await request(`http://${node.address('ready')}/-/readiness`);
  await body.dump();
  return statusCode === 200;
};

const replaceUntilAnswered = async (control: string, document: object): Promise<number> => {
  let status = 503;
  await waitFor('definite answer to a change', async () => {
    ({ status } = await callControl(control, 'configuration.replace', document));
    return status !== 503;
  });
  return status;
};

const isServed = async (node: PlatformMachine, path: string): Promise<boolean> => {
  const { status } = await sendAttempt(node.address('outbound'), { path });
  return status === 200;
};

/** Formats a reply for the message of a check; the body of a refusal states its reason. */
const formatReply = ({ status, body }: { status: number; body: string }): string =>
  status === 200 ? '200' : `${status} ${body}`;

tap.test('the platform programs serve requests and changes', async (t) => {
  const platform = await startPlatform(t);
  const { controls, nodes, workers } = platform;
  const [firstControl = '', secondControl = ''] = controls.map((one) => one.address('control'));
  const [firstNode] = nodes;
  if (!firstNode) throw new Error('the test platform has no node');
  const outbound = firstNode.address('outbound');

  await t.test('a node without a configuration refuses requests and is not ready', async (t2) => {
    await waitFor('the node listens', async () => !(await isReady(firstNode)));
    const reply = await sendAttempt(outbound, { path: '/desk/1' });
    t2.equal(reply.status, 503);
  });

  await t.test('the first configuration is accepted and takes effect on every node', async (t2) => {
    const document = createConfigurationDocument(3, 0, SERVICES);
    t2.equal(await replaceUntilAnswered(firstControl, document), 200);
    await Promise.all(nodes.map((node) => waitFor('ready', () => isReady(node))));
    await Promise.all(
      nodes.flatMap((node) =>
        SERVICES.map((service) => waitFor('served', () => isServed(node, `/${service}/1`))),
      ),
    );
  });

  await t.test(
    'a request is executed by a worker whose response reaches the caller',
    async (t2) => {
      const reply = await sendAttempt(outbound, { path: '/ledger/7?x=1' });
      t2.match(reply.body, /^i-\d \/ledger\/7\?x=1$/);
      t2.match(reply.stamp, /^s\.i-/);
      const execution = workers
        .flatMap(({ runs }) => runs)
        .find((one) => one.attemptId === reply.attemptId);
      t2.equal(
        execution?.callerService,
        'desk',
        'the caller service is that of the entry node, whatever the request claims',
      );
    },
  );

  await t.test('an unknown path is answered 404', async (t2) => {
    const reply = await sendAttempt(outbound, { path: '/nowhere/' });
    t2.equal(reply.status, 404, `404, answered ${formatReply(reply)}`);
  });

  await t.test('a change that is not based on the newest version is refused', async (t2) => {
    const document = createConfigurationDocument(5, 2, SERVICES);
    t2.equal(await replaceUntilAnswered(secondControl, document), 412);
    t2.equal(
      await replaceUntilAnswered(secondControl, createConfigurationDocument(3, 0, SERVICES)),
      200,
    );
  });

  await t.test('an invalid change is refused and changes nothing', async (t2) => {
    const document = createConfigurationDocument(9, 3, SERVICES);
    const invalid = { ...document, services: [] };
    t2.equal(await replaceUntilAnswered(firstControl, invalid), 400);
    t2.ok(await isServed(firstNode, '/desk/1'));
  });

  await t.test('every control VM returns the accepted configuration', async (t2) => {
    const replies = await Promise.all(
      controls.map((one) => callControl(one.address('control'), 'configuration.read')),
    );
    replies.forEach(({ status, body }) => {
      t2.equal(status, 200, `200, answered ${formatReply({ status, body })}`);
      t2.strictSame(JSON.parse(body), createConfigurationDocument(3, 0, SERVICES));
    });
  });

  await t.test('an invalid heartbeat or one for another address changes nothing', async (t2) => {
    const [worker] = workers;
    t2.equal(await worker?.sendHeartbeat({ born: 'yesterday' }), 400);
    t2.equal(await worker?.sendHeartbeat({ address: '127.0.72.9:1' }), 400);
    t2.ok(await isServed(firstNode, '/desk/1'));
  });

  await t.test('a draining worker receives no request after the time limit', async (t2) => {
    const [worker] = workers;
    t2.equal(await worker?.drain(), 200);
    const drainedAtMs = performance.now();
    while (performance.now() < drainedAtMs + DRAIN_LIMIT_MS + 1_000) {
      const replies = await Promise.all(
        nodes.map((node) => sendAttempt(node.address('outbound'), { path: '/desk/2' })),
      );
      t2.ok(
        replies.every(({ status }) => status === 200),
        replies.map(formatReply).join(),
      );
    }
    const late = worker?.runs.filter(({ atMs }) => atMs > drainedAtMs + DRAIN_LIMIT_MS) ?? [];
    t2.strictSame(late, []);
  });

  await t.test(
    'the loss of a control VM and its disk loses no acknowledged configuration',
    async (t2) => {
      const document = createConfigurationDocument(12, 3, SERVICES);
      t2.equal(await replaceUntilAnswered(firstControl, document), 200);
      const [lost, ...others] = controls;
      await lost?.remove();
      await Promise.all(
        others.map((one) =>
          waitFor('newest configuration at the other control VMs', async () => {
            const { status, body } = await callControl(
              one.address('control'),
              'configuration.read',
            );
            return status === 200 && JSON.parse(body).version === 'r12';
          }),
        ),
      );
    },
  );

  await t.test('SIGTERM ends a node within its grace period', async (t2) => {
    const startedAtMs = performance.now();
    await firstNode.stop();
    t2.ok(performance.now() - startedAtMs < 6_000);
    t2.match(firstNode.output, /node stopped/);
  });
});
