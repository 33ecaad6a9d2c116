import tap from 'tap';

import { createOrder, createRoutedConfiguration } from '../../../../stand-ins/rollouts/index.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { FIRST_STEP, RolloutBook } from '../RolloutBook/index.js';
import { RolloutOutcome } from '../types.js';
import { checkOrder, checkStep } from './index.js';

const CONFIGURATION = createRoutedConfiguration();

const check = (book: RolloutBook, order: Rollout) => checkOrder(book, order, CONFIGURATION);

const createBook = (...stages: RolloutStage[]): RolloutBook => {
  const book = new RolloutBook();
  const placed = createOrder({ id: 1, step: FIRST_STEP, orderedAtMs: 1_000n, requestId: 'r-1' });
  book.apply(placed, 1);
  stages.forEach((stage, position) =>
    book.apply({ ...placed, stage, step: position + 2 }, position + 2),
  );
  return book;
};

const COMPLETED = [RolloutStage.PROMOTING, RolloutStage.COMPLETED];

tap.test('each order that cannot be taken is refused with its reason', async (t) => {
  const running = createBook();
  t.equal(check(new RolloutBook(), createOrder()), undefined);
  t.match(check(running, createOrder({ targetVersion: 'v3' })), {
    outcome: RolloutOutcome.InProgress,
    message: /desk to v2 is in progress/,
  });
  t.equal(check(running, createOrder({ service: 'ledger' })), undefined);
  t.match(check(running, createOrder({ service: 'unknown' })), {
    outcome: RolloutOutcome.UnknownService,
  });
  t.match(checkOrder(running, createOrder({ service: 'ledger' }), undefined), {
    outcome: RolloutOutcome.UnknownService,
  });
  t.match(check(createBook(...COMPLETED), createOrder({ durationMs: 50_000 })), {
    outcome: RolloutOutcome.SameVersion,
  });
  t.match(check(new RolloutBook(), createOrder({ durationMs: 3_000 })), {
    outcome: RolloutOutcome.InvalidDuration,
    message: /at least 6500 ms/,
  });
  t.match(check(new RolloutBook(), createOrder({ targetVersion: '' })), {
    outcome: RolloutOutcome.Invalid,
  });
});

// Guards against refusing an operator who repeats an order because its acknowledgement was lost.
tap.test('the repeat of an order is acknowledged whatever happened since', async (t) => {
  const ends = [[], COMPLETED, [RolloutStage.ROLLED_BACK]];
  ends.forEach((stages) => {
    const repeated = check(createBook(...stages), createOrder({ orderedAtMs: 5_000n }));
    t.match(repeated, { outcome: RolloutOutcome.AlreadyAccepted }, `after ${stages.length} steps`);
  });
  const later = createOrder({ orderedAtMs: 500_000n });
  t.equal(check(createBook(RolloutStage.ROLLED_BACK), later), undefined, 'ordered again');
  t.match(check(createBook(RolloutStage.ROLLED_BACK), { ...later, requestId: 'r-1' }), {
    outcome: RolloutOutcome.AlreadyAccepted,
  });
});

// Guards against two leaders that take different steps from the same state.
tap.test('only the next step is accepted, its repeat is acknowledged', async (t) => {
  const book = createBook();
  const step = createOrder({ id: 1, step: 2, sharePermille: 20 });
  t.equal(checkStep(book, step), undefined);
  book.apply(step, 2);
  t.match(checkStep(book, step), { outcome: RolloutOutcome.AlreadyAccepted });
  t.match(checkStep(book, { ...step, sharePermille: 80 }), { outcome: RolloutOutcome.Superseded });
});
