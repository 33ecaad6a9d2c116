import tap from 'tap';

import AnswerLedger, { FREE_BYTES, MAX_QUEUE_BYTES, MIN_PAUSE_MS, PROOF_BYTES } from './index.js';
import type { AnswerEntry } from './index.js';

const PART_BYTES = 65_536;
const TICK_MS = 100;
const ROOMS = 2;

const createLedger = (): AnswerLedger => new AnswerLedger(ROOMS * MAX_QUEUE_BYTES);

/** Sends parts until no more may be sent; returns the bytes sent. */
const send = (
  ledger: AnswerLedger,
  entry: AnswerEntry,
  { nowMs, maxBytes = 2 * PROOF_BYTES }: { nowMs: number; maxBytes?: number },
): number => {
  let sentBytes = 0;
  let isFlowing = true;
  while (isFlowing && sentBytes < maxBytes) {
    isFlowing = ledger.add(entry, { sentBytes: PART_BYTES, isPaused: false }, nowMs);
    sentBytes += PART_BYTES;
  }
  return sentBytes;
};

/** Sends an answer that its caller does not read. */
const sendUnread = (ledger: AnswerLedger, nowMs: number): AnswerEntry => {
  const entry = ledger.open();
  send(ledger, entry, { nowMs, maxBytes: MAX_QUEUE_BYTES });
  ledger.add(entry, { sentBytes: 0, isPaused: true }, nowMs);
  return entry;
};

/** Reviews at short intervals; returns all that was ended. */
const reviewUntil = (ledger: AnswerLedger, fromMs: number, toMs: number): AnswerEntry[] =>
  Array.from({ length: Math.round((toMs - fromMs) / TICK_MS) }, (_, index) =>
    ledger.review(fromMs + (index + 1) * TICK_MS),
  ).flatMap(({ ended }) => ended);

// Guards against callers that are cut though the node has room, however long they pause.
tap.test('no answer is ended while there is room', (t) => {
  const ledger = createLedger();
  Array.from({ length: ROOMS }, () => sendUnread(ledger, 0));
  t.strictSame(reviewUntil(ledger, 0, 100 * MIN_PAUSE_MS), []);
  t.equal(ledger.pausedCount, ROOMS);
  t.end();
});

// Guards against an answer that is ended before others that have been paused for longer.
tap.test('the answer that has been paused longest ends, and another is sent on', (t) => {
  const ledger = createLedger();
  const first = sendUnread(ledger, 0);
  const second = sendUnread(ledger, 10);
  const third = ledger.open();
  send(ledger, third, { nowMs: 20 });
  t.equal(ledger.waitingCount, 1);
  t.strictSame(reviewUntil(ledger, 0, MIN_PAUSE_MS - TICK_MS), []);
  const { ended, granted } = ledger.review(MIN_PAUSE_MS);
  t.equal(ended.length, 1);
  t.equal(ended[0], first);
  t.equal(granted[0], third);
  t.equal(ledger.waitingCount, 0);
  ledger.resume(second);
  t.end();
});

// Guards against answers that are ended because the next node has them wait for room.
tap.test('an answer is not ended before its own time', (t) => {
  const ledger = createLedger();
  const patient = ledger.open({ minPauseMs: 4 * MIN_PAUSE_MS });
  ledger.add(patient, { sentBytes: MAX_QUEUE_BYTES, isPaused: true }, 0);
  const others = Array.from({ length: ROOMS }, () => sendUnread(ledger, 10));
  ledger.review(MIN_PAUSE_MS / 2);
  send(ledger, ledger.open(), { nowMs: MIN_PAUSE_MS });
  const ended = reviewUntil(ledger, MIN_PAUSE_MS, 4 * MIN_PAUSE_MS - TICK_MS);
  t.ok(ended.length > 0);
  t.ok(ended.every((entry) => others.includes(entry)));
  t.end();
});

// Guards against callers that are ended though they take bytes.
tap.test('a caller that takes bytes restarts its pause', (t) => {
  const ledger = createLedger();
  const slow = sendUnread(ledger, 0);
  const unread = sendUnread(ledger, 10);
  ledger.resume(slow);
  ledger.add(slow, { sentBytes: PART_BYTES, isPaused: true }, MIN_PAUSE_MS / 2);
  send(ledger, ledger.open(), { nowMs: MIN_PAUSE_MS / 2 });
  const ended = reviewUntil(ledger, MIN_PAUSE_MS / 2, MIN_PAUSE_MS + TICK_MS);
  t.equal(ended.length, 1);
  t.equal(ended[0], unread);
  t.end();
});

// Guards against queues in the kernel that exceed the bound before the first pause shows.
tap.test('answers are sent beyond the free part only with room for a full queue', (t) => {
  const ledger = createLedger();
  const sent = Array.from({ length: 6 }, () =>
    send(ledger, ledger.open(), { nowMs: 0, maxBytes: MAX_QUEUE_BYTES }),
  );
  t.strictSame(sent.slice(0, ROOMS), [MAX_QUEUE_BYTES, MAX_QUEUE_BYTES]);
  t.ok(sent.slice(ROOMS).every((bytes) => bytes <= FREE_BYTES + PART_BYTES));
  t.equal(ledger.countedBytes, ROOMS * MAX_QUEUE_BYTES);
  t.end();
});

// Guards against long answers that keep room from others though their callers read.
tap.test('an answer longer than a queue takes no room once that much is read', (t) => {
  const ledger = createLedger();
  Array.from({ length: 5 }, () => send(ledger, ledger.open(), { nowMs: 0 }));
  t.equal(ledger.waitingCount, 0);
  t.equal(ledger.countedBytes, 0);
  t.end();
});

// Guards against short pauses of many fast callers, one for each part, that leave others without room.
tap.test('a pause of a moment takes no room', (t) => {
  const ledger = createLedger();
  const entries = Array.from({ length: 5 }, () => {
    const entry = ledger.open();
    send(ledger, entry, { nowMs: 0 });
    return entry;
  });
  entries.forEach((entry) =>
    ledger.add(entry, { sentBytes: PART_BYTES, isPaused: true }, MIN_PAUSE_MS),
  );
  ledger.review(MIN_PAUSE_MS + TICK_MS);
  t.equal(ledger.countedBytes, 0);
  t.equal(ledger.review(2 * MIN_PAUSE_MS).ended.length, entries.length - ROOMS);
  t.equal(ledger.countedBytes, ROOMS * MAX_QUEUE_BYTES);
  t.end();
});

// Guards against streams of events that stop because other streams last long.
tap.test('an answer that arrives slowly never waits', (t) => {
  const ledger = createLedger();
  Array.from({ length: ROOMS }, () => sendUnread(ledger, 0));
  const stream = ledger.open();
  const results = Array.from({ length: 1_000 }, (_, index) => {
    ledger.review(index * TICK_MS);
    return ledger.add(stream, { sentBytes: 8_192, isPaused: false }, index * TICK_MS);
  });
  t.ok(results.every((isFlowing) => isFlowing));
  t.end();
});

// Guards against an answer whose server fell silent that keeps its room.
tap.test('a reservation that is not used ends', (t) => {
  const ledger = createLedger();
  Array.from({ length: ROOMS }, () =>
    send(ledger, ledger.open(), { nowMs: 0, maxBytes: 4 * FREE_BYTES }),
  );
  t.equal(ledger.countedBytes, ROOMS * MAX_QUEUE_BYTES);
  reviewUntil(ledger, 0, 5_000);
  t.equal(ledger.countedBytes, 0);
  t.end();
});

// Guards against many small answers of known length that wait for room for full queues.
tap.test('an answer takes no more room than its length', (t) => {
  const ledger = createLedger();
  const lengthBytes = MAX_QUEUE_BYTES / 8;
  Array.from({ length: ROOMS * 8 }, () =>
    send(ledger, ledger.open({ lengthBytes }), { nowMs: 0, maxBytes: lengthBytes }),
  );
  t.equal(ledger.waitingCount, 0);
  t.end();
});

// Guards against buffers of waiting answers that exceed the memory of the machine.
tap.test('where too many answers wait, the last of them end', (t) => {
  const ledger = createLedger();
  const entries = Array.from({ length: 60 }, () => ledger.open());
  entries.forEach((entry) => send(ledger, entry, { nowMs: 0, maxBytes: MAX_QUEUE_BYTES }));
  const ended = ledger.endSurplus();
  const { waitingCount } = ledger;
  t.ok(ended.length > 0);
  t.equal(ended.length, entries.length - ROOMS - waitingCount);
  // Where callers do not read, fewer may wait.
  entries.slice(0, ROOMS).forEach((entry) => {
    ledger.add(entry, { sentBytes: 0, isPaused: true }, 0);
  });
  ledger.review(MIN_PAUSE_MS - TICK_MS);
  t.equal(ledger.waitingCount, waitingCount / 2);
  t.equal(ended.at(-1), entries.at(-1));
  t.end();
});

// Guards against room that is lost with answers that have ended.
tap.test('an answer that has ended gives its room back', (t) => {
  const ledger = createLedger();
  const entries = Array.from({ length: ROOMS }, () => sendUnread(ledger, 0));
  const waiting = ledger.open();
  send(ledger, waiting, { nowMs: 0 });
  entries.forEach((entry) => ledger.remove(entry));
  entries.forEach((entry) => ledger.remove(entry));
  t.equal(ledger.grant(0)[0], waiting);
  ledger.remove(waiting);
  t.equal(ledger.countedBytes, 0);
  t.end();
});
