import fc from 'fast-check';
import tap from 'tap';

import { applyPatch, createPatch } from './index.js';

const MAX_BYTES = 1_024 * 1_024;
const SEED = Number(process.env.SEED ?? 20_261_204);

const createRows = (count: number): string[] =>
  Array.from(
    { length: count },
    (_, index) => `{"name":"r-${(index * 7_919).toString(36)}","timeout":"${1_000 + index}ms"}`,
  );

const toBytes = (rows: string[]): Buffer => Buffer.from(rows.join(','));

const measure = (base: Buffer, target: Buffer): number =>
  createPatch(base, target).reduce((sum, { inserted }) => sum + inserted.length, 0);

// Guards against a follower that stores other bytes than the leader.
tap.test('a patch leads to the target for any base', (t) => {
  const bytes = fc.uint8Array({ maxLength: 400 });
  const repetitive = fc
    .array(fc.constantFrom('alpha,', 'beta,', 'gamma-gamma-gamma-gamma,'), { maxLength: 200 })
    .map((words) => new Uint8Array(Buffer.from(words.join(''))));
  const text = fc.oneof(bytes, repetitive);
  fc.assert(
    fc.property(text, text, (base, target) => {
      const result = applyPatch(base, createPatch(base, target), MAX_BYTES);
      return result !== undefined && Buffer.compare(result, target) === 0;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.pass();
  t.end();
});

// Guards against changes that cost their whole configuration between data centres.
tap.test('changed, added and removed rows of many cost little more than themselves', (t) => {
  const rows = createRows(1_700);
  const base = toBytes(rows);
  const changed = rows.with(40, '{"name":"r-40","timeout":"7ms"}').with(900, '{"name":"r-900"}');
  t.ok(measure(base, toBytes(changed)) < 300, 'two changed rows');
  t.ok(measure(base, toBytes(rows.toSpliced(1_200, 30))) < 100, 'thirty removed rows');
  const added = rows.toSpliced(0, 0, '{"name":"first"}').toSpliced(800, 0, '{"name":"middle"}');
  t.ok(measure(base, toBytes(added)) < 300, 'two added rows');
  t.end();
});

// Guards against a malformed message that reads beyond the base or exhausts the memory.
tap.test('operations beyond the base or the limit are refused', (t) => {
  const base = Buffer.from('0123456789');
  const operation = { $typeName: 'foxtailvane.v1.PatchOperation' as const };
  const inserted = new Uint8Array(0);
  const beyond = { ...operation, copyOffset: 5, copyLength: 6, inserted };
  t.equal(applyPatch(base, [beyond], MAX_BYTES), undefined);
  const whole = { ...operation, copyOffset: 0, copyLength: 10, inserted };
  t.equal(applyPatch(base, [whole, whole], 19), undefined);
  t.equal(applyPatch(base, [whole, whole], 20)?.length, 20);
  t.end();
});
