import tap from 'tap';

import { SnapshotAdmission } from './SnapshotAdmission.js';

const options = { slots: 2, slotTimeoutMs: 5_000, retryAfterMs: 250, random: () => 0.5 };

tap.test('the number of concurrent snapshots is limited to the slots', async (t) => {
  const admission = new SnapshotAdmission(options);
  t.ok(admission.admit('node-1', 0));
  t.ok(admission.admit('node-2', 0));
  t.notOk(admission.admit('node-3', 0));
  t.ok(admission.admit('node-2', 0), 'a repeated snapshot to the same node keeps its slot');
  admission.release('node-1');
  t.ok(admission.admit('node-3', 0));
  t.equal(admission.usedSlots, 2);
});

tap.test('the slot of a node that never reports expires', async (t) => {
  const admission = new SnapshotAdmission(options);
  admission.admit('node-1', 0);
  admission.admit('node-2', 1_000);
  t.notOk(admission.admit('node-3', 4_999));
  t.ok(admission.admit('node-3', 5_000));
});

tap.test('each released slot notifies one waiting node, in order', async (t) => {
  const admission = new SnapshotAdmission(options);
  const called: string[] = [];
  ['node-1', 'node-2'].forEach((nodeId) => admission.admit(nodeId, 0));
  ['node-3', 'node-4', 'node-5'].forEach((nodeId) =>
    admission.waitForSlot(nodeId, () => called.push(nodeId)),
  );
  admission.release('node-4');
  admission.release('node-1');
  t.strictSame(called, ['node-3'], 'a released node is not notified');
  admission.release('node-1');
  t.strictSame(called, ['node-3'], 'a slot is released once');
  admission.release('node-2');
  t.strictSame(called, ['node-3', 'node-5']);
});

tap.test('refused nodes retry after a jittered delay', async (t) => {
  t.equal(new SnapshotAdmission(options).chooseRetryAfterMs(), 375);
  t.equal(new SnapshotAdmission({ ...options, random: () => 0 }).chooseRetryAfterMs(), 250);
});
