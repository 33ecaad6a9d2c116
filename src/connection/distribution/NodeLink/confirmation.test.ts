import tap from 'tap';

import {
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';

import type { TestNode } from '../../../../stand-ins/distributionCluster/index.js';

const TIMING = { heartbeatIntervalMs: 50 };

const readAgeMs = (node: TestNode): number => node.link.getConfirmationAgeMs(Date.now());

// Guards against a node that is cut off, or attached to a control VM that is, and that goes on to
// accept what has been withdrawn.
tap.test('the confirmation ages when no leader confirms the version', async (t) => {
  const control = await startControl('control-1', TIMING);
  control.log.commit(buildSizedConfiguration(1), Date.now());
  const node = startNode('node-1', [control], { needsProof: true, timing: TIMING });
  const indifferent = startNode('node-2', [control], { timing: TIMING });
  t.teardown(async () => {
    await Promise.all([node.stop(), indifferent.stop()]);
    await control.stop();
  });
  t.equal(readAgeMs(node), Infinity);
  await waitUntil('proven', () => readAgeMs(node) < 1_000);
  const startedAtMs = Date.now();
  await waitUntil('renewed', () => Date.now() - startedAtMs > 1_500 && readAgeMs(node) < 1_000);
  control.log.isLeaderKnown = false;
  await waitUntil('aged', () => readAgeMs(node) > 1_000);
  control.log.isLeaderKnown = true;
  await waitUntil('proven again', () => readAgeMs(node) < 1_000);
  t.equal(readAgeMs(indifferent), Infinity);
});

// Guards against a control VM that was suspended and answers what arrived meanwhile.
tap.test('a control VM proves nothing right after a suspension', async (t) => {
  let wallStepMs = 0;
  const control = await startControl('control-1', {
    ...TIMING,
    readWallMs: () => Date.now() + wallStepMs,
  });
  control.log.commit(buildSizedConfiguration(1), Date.now());
  const node = startNode('node-1', [control], { needsProof: true, timing: TIMING });
  t.teardown(async () => {
    await node.stop();
    await control.stop();
  });
  await waitUntil('proven', () => readAgeMs(node) < 200);
  wallStepMs = 7_000;
  await waitUntil('withheld', () => readAgeMs(node) > 400);
  await waitUntil('proven again', () => readAgeMs(node) < 200);
  t.pass();
});
