import tap from 'tap';

import { createOrder } from '../../../../stand-ins/rollouts/index.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { FIRST_STEP, RolloutBook } from './index.js';

const order = (id: number, targetVersion: string, service = 'desk') =>
  createOrder({ id, targetVersion, service, step: FIRST_STEP });

/** Applies an order and its rollback. */
const rollBack = (book: RolloutBook, id: number, targetVersion: string): void => {
  const placed = order(id, targetVersion);
  book.apply(placed, id * 10);
  book.apply({ ...placed, step: 2, stage: RolloutStage.ROLLED_BACK }, id * 10 + 1);
};

// Guards against a step of a replaced leader that brings a version back which was rolled back.
tap.test('late, repeated and impossible steps change nothing', async (t) => {
  const book = new RolloutBook();
  const placed = order(1, 'v2');
  t.ok(book.apply(placed, 10));
  t.notOk(book.apply(placed, 11), 'the order again');
  t.notOk(book.apply(order(2, 'v3'), 12), 'another order of the service');
  t.ok(book.apply(order(2, 'v2', 'ledger'), 13), 'an order of another service');
  t.ok(book.apply({ ...placed, step: 2, sharePermille: 20 }, 14));
  t.notOk(book.apply({ ...placed, step: 2, sharePermille: 80 }, 15), 'a step from the same state');
  t.notOk(book.apply({ ...placed, step: 3, stage: RolloutStage.COMPLETED }, 16), 'not promoted');
  t.ok(book.apply({ ...placed, step: 3, stage: RolloutStage.ROLLED_BACK }, 17));
  t.notOk(book.apply({ ...placed, step: 4, stage: RolloutStage.PROMOTING }, 18), 'after the end');
  t.match(book.find(1), { stage: RolloutStage.ROLLED_BACK, step: 3 });
  t.equal(book.set().revision, 17);
  t.equal(book.findChangeIndex(2), 13);
});

// Guards against a restart or a compaction of the log that forgets a rollback.
tap.test('a snapshot restores each roll-out, and the revision never goes back', async (t) => {
  const book = new RolloutBook();
  rollBack(book, 1, 'v2');
  book.apply(order(2, 'v3'), 30);
  const restored = new RolloutBook();
  restored.replace(book.list(), 34);
  t.strictSame(restored.list(), book.list());
  t.ok(restored.set().revision >= book.set().revision);
  t.equal(restored.lastId, 2);
  t.ok(restored.apply({ ...order(2, 'v3'), step: 2, sharePermille: 20 }, 35));
});

// Guards against a log that grows for ever, and against forgetting a version that was rolled back.
tap.test('the history is bounded, the newest of each target version stays', async (t) => {
  const book = new RolloutBook();
  rollBack(book, 1, 'v-first');
  Array.from({ length: 40 }, (_, position) => rollBack(book, position + 2, 'v2'));
  t.equal(book.list().length, 17);
  t.strictSame(
    book.set().rollouts.map(({ id }) => id),
    [1, 41],
  );
  Array.from({ length: 100 }, (_, position) => rollBack(book, position + 42, `v${position}`));
  t.equal(book.set().rollouts.length, 32);
  t.equal(book.list().length, 32);
});
