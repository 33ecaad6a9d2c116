import tap from 'tap';

import PartMeter, { MAX_TURN_BYTES } from './index.js';

const SHORT = { parts: 682, sizeBytes: 682, spentMs: 1, hasMore: true };
const LONG = { parts: 4, sizeBytes: 4_000, spentMs: 0.1, hasMore: true };
const DRIP = { parts: 3, sizeBytes: 3, spentMs: 0.1, hasMore: false };
const PIECE_INTERVAL_MS = 10;

/** Records a piece every 10 ms; returns when the connection was overdue first. */
const findOverdueMs = (meter: PartMeter, durationMs: number, pick: (index: number) => object) =>
  Array.from({ length: durationMs / PIECE_INTERVAL_MS }, (_, index) => index)
    .map((index) => {
      const nowMs = index * PIECE_INTERVAL_MS;
      meter.record({ ...SHORT, ...pick(index) }, nowMs);
      return meter.isOverdue(nowMs) ? nowMs : Infinity;
    })
    .reduce((first, nowMs) => Math.min(first, nowMs), Infinity);

// Guards against a limit that slows down uploads in long chunks or with a few bytes at a time.
tap.test('only many short parts in one piece are wasteful', async (t) => {
  const meter = new PartMeter();
  t.notOk(meter.record(LONG, 0));
  t.notOk(meter.record(DRIP, 0));
  t.notOk(meter.isWasteful);
  t.equal(meter.maxPieceBytes, Infinity);
  t.ok(meter.record(SHORT, 0));
  t.ok(meter.isWasteful);
  t.equal(meter.maxPieceBytes, MAX_TURN_BYTES);
  t.notOk(meter.record(LONG, 1));
  t.notOk(meter.isWasteful, 'the next piece needs no turn');
  t.equal(meter.maxPieceBytes, MAX_TURN_BYTES, 'pieces stay short');
});

// Guards against a caller that keeps a node busy for as long as it likes.
tap.test('a connection is overdue after 10 s with wasteful pieces only', async (t) => {
  const overdueMs = findOverdueMs(new PartMeter(), 15_000, () => ({}));
  t.ok(overdueMs > 10_000 && overdueMs < 10_100, String(overdueMs));
});

// Guards against the end of a legitimate stream: a busy node reads many of its parts at once.
tap.test('a stream that leaves nothing to parse is never overdue', async (t) => {
  const isLast = (index: number): boolean => index % 900 === 899;
  const streamed = findOverdueMs(new PartMeter(), 60_000, (index) => ({ hasMore: !isLast(index) }));
  t.equal(streamed, Infinity);
  const mixed = findOverdueMs(new PartMeter(), 60_000, (index) => (isLast(index) ? LONG : {}));
  t.equal(mixed, Infinity);
});

// Guards against the end of a long upload in short records.
tap.test('short parts that carry most of the bytes are never overdue', async (t) => {
  const records = { parts: 38, sizeBytes: 3_800 };
  t.ok(new PartMeter().record({ ...SHORT, ...records }, 0), 'they need turns');
  t.equal(
    findOverdueMs(new PartMeter(), 60_000, () => records),
    Infinity,
  );
});

// Guards against counting the time for which a body was not read because its server did not read it.
tap.test('a pause starts the time anew', async (t) => {
  const meter = new PartMeter();
  meter.record(SHORT, 0);
  meter.record(SHORT, 9_000);
  t.notOk(meter.isOverdue(9_000));
  meter.record(SHORT, 18_000);
  t.notOk(meter.isOverdue(18_000));
});
