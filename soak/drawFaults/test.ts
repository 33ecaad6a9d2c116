import tap from 'tap';

import { createSeededRandom } from '../../stand-ins/createSeededRandom/index.js';
import { FaultKind, FaultTarget, drawFaults } from './index.js';

const OPTIONS = { durationMs: 60_000, counts: { control: 3, node: 6, server: 12 } };

// Guards against a seed that does not reproduce its run.
tap.test('the same seed draws the same faults', async (t) => {
  t.strictSame(
    drawFaults(createSeededRandom(7), OPTIONS),
    drawFaults(createSeededRandom(7), OPTIONS),
  );
  t.notSame(drawFaults(createSeededRandom(7), OPTIONS), drawFaults(createSeededRandom(8), OPTIONS));
});

// Guards against fault plans that omit a kind of fault or in which no two faults overlap.
tap.test('plans contain faults of every kind that overlap and end within the run', async (t) => {
  const faults = Array.from({ length: 10 }).flatMap((_, seed) =>
    drawFaults(createSeededRandom(seed), OPTIONS),
  );
  Object.values(FaultKind).forEach((kind) => {
    t.ok(
      faults.some((fault) => fault.kind === kind),
      kind,
    );
  });
  const [first = [], ...rest] = [drawFaults(createSeededRandom(1), OPTIONS)];
  t.strictSame(rest, []);
  t.ok(first.some(({ startMs }, index) => startMs < (first[index - 1]?.endMs ?? 0)));
  faults.forEach(({ startMs, endMs, target, index }) => {
    t.ok(startMs <= endMs && endMs <= OPTIONS.durationMs && index < OPTIONS.counts[target]);
  });
});

tap.test('no reload is planned for a backend server', async (t) => {
  const faults = Array.from({ length: 20 }).flatMap((_, seed) =>
    drawFaults(createSeededRandom(seed), OPTIONS),
  );
  const unsupported = faults.filter(
    ({ kind, target }) => target === FaultTarget.Server && kind === FaultKind.Reload,
  );
  t.strictSame(unsupported, []);
});
