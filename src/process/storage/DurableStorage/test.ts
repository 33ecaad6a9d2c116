import fc from 'fast-check';
import tap from 'tap';

import SimulatedDisk from '../../../../stand-ins/SimulatedDisk/index.js';
import { createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import { unwrapError, unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import { StorageErrorCode } from '../StorageError/index.js';
import { DurableStorage } from './index.js';
import type { HardState, OpenedStorage, StoredEntry } from './index.js';

const SEED = Number(process.env.SEED ?? 1);
const FOLDER = '/data';
const PROPERTY_RUNS = 300;

tap.comment(`seed ${SEED}`);

const createIdentity = (): string => '01234567-89ab-cdef-0123-456789abcdef';

const openDisk = async (disk: SimulatedDisk): Promise<OpenedStorage> => {
  const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
  return unwrapResult(opened);
};

/** Creates consecutive entries whose payload encodes their index and term. */
const createEntries = (
  firstIndex: number,
  count: number,
  term: number,
  bytes = 40,
): StoredEntry[] =>
  Array.from({ length: count }, (_, position) => ({
    index: firstIndex + position,
    term,
    payload: Uint8Array.from(Buffer.from(`${firstIndex + position}/${term}/`.padEnd(bytes, 'x'))),
  }));

const describeEntries = (entries: StoredEntry[]): string =>
  entries.map(({ index, term, payload }) => `${index}/${term}/${payload.length}`).join(' ');

const isUndamaged = ({ index, term, payload }: StoredEntry): boolean =>
  Buffer.from(payload).toString().startsWith(`${index}/${term}/`);

/** One append: the share of existing entries that it keeps, and the number that it adds. */
interface Append {
  keptShare: number;
  count: number;
  bytes: number;
}

const appendArbitrary: fc.Arbitrary<Append> = fc.record({
  keptShare: fc.double({ min: 0, max: 1, noNaN: true }),
  count: fc.integer({ min: 1, max: 4 }),
  bytes: fc.integer({ min: 12, max: 900 }),
});

/** Runs the appends; returns the stored entries before the first and after each of them. */
const writeAppends = async (disk: SimulatedDisk, appends: Append[]): Promise<string[]> => {
  const { storage } = await openDisk(disk);
  let stored: StoredEntry[] = [];
  const states = [describeEntries(stored)];
  await appends.reduce(async (previous, { keptShare, count, bytes }, position) => {
    await previous;
    const keptCount = position % 3 === 0 ? Math.floor(keptShare * stored.length) : stored.length;
    const entries = createEntries(keptCount + 1, count, position + 1, bytes);
    stored = [...stored.slice(0, keptCount), ...entries];
    unwrapResult(await storage.append(entries));
    states.push(describeEntries(stored));
  }, Promise.resolve());
  await storage.close();
  return states;
};

const reopen = async (
  disk: SimulatedDisk,
): Promise<{ code: StorageErrorCode } | { entries: StoredEntry[] }> => {
  const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
  if (opened.isErr()) return { code: opened.error.code };
  await opened.value.storage.close();
  return { entries: opened.value.recovered.entries };
};

const isPrefixOrError = async (disk: SimulatedDisk, states: string[]): Promise<boolean> => {
  const reopened = await reopen(disk);
  if ('code' in reopened) return true;
  return reopened.entries.every(isUndamaged) && states.includes(describeEntries(reopened.entries));
};

tap.test('a log truncated at any byte is read as a prefix of the appends or rejected', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(appendArbitrary, { minLength: 1, maxLength: 8 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      async (appends, cutShare) => {
        const disk = new SimulatedDisk(createSeededRandom(SEED));
        const states = await writeAppends(disk, appends);
        const content = disk.readContent(`${FOLDER}/log`);
        disk.replaceContent(
          `${FOLDER}/log`,
          content.subarray(0, Math.floor(cutShare * content.length)),
        );
        return isPrefixOrError(disk, states);
      },
    ),
    { seed: SEED, numRuns: PROPERTY_RUNS },
  );
});

tap.test('a file with a changed byte is read as a prefix of the appends or rejected', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(appendArbitrary, { minLength: 1, maxLength: 8 }),
      fc.constantFrom('log', 'log', 'log', 'state'),
      fc.double({ min: 0, max: 0.999999, noNaN: true }),
      fc.integer({ min: 1, max: 255 }),
      async (appends, name, byteShare, change) => {
        const disk = new SimulatedDisk(createSeededRandom(SEED));
        const states = await writeAppends(disk, appends);
        const content = Buffer.from(disk.readContent(`${FOLDER}/${name}`));
        const position = Math.floor(byteShare * content.length);
        content[position] = ((content[position] ?? 0) + change) % 256;
        disk.replaceContent(`${FOLDER}/${name}`, content);
        return isPrefixOrError(disk, states);
      },
    ),
    { seed: SEED, numRuns: PROPERTY_RUNS },
  );
});

tap.test('a snapshot with a changed byte is rejected', async () => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  await writeAppends(disk, [{ keptShare: 1, count: 4, bytes: 100 }]);
  const { storage } = await openDisk(disk);
  const snapshot = { lastIndex: 4, lastTerm: 1, payload: Buffer.from('state at 4') };
  unwrapResult(await storage.saveSnapshot(snapshot, [], { index: 4, term: 1 }));
  const whole = disk.readContent(`${FOLDER}/snapshot`);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 0, max: whole.length - 1 }),
      fc.integer({ min: 1, max: 255 }),
      async (position, change) => {
        const content = Buffer.from(whole);
        content[position] = ((content[position] ?? 0) + change) % 256;
        disk.replaceContent(`${FOLDER}/snapshot`, content);
        return 'code' in (await reopen(disk));
      },
    ),
    { seed: SEED, numRuns: PROPERTY_RUNS },
  );
});

tap.test(
  'corruption before the last append is rejected, later entries are not dropped',
  async (t) => {
    const disk = new SimulatedDisk(createSeededRandom(SEED));
    await writeAppends(disk, [
      { keptShare: 1, count: 2, bytes: 100 },
      { keptShare: 1, count: 2, bytes: 100 },
      { keptShare: 1, count: 2, bytes: 100 },
    ]);
    const content = Buffer.from(disk.readContent(`${FOLDER}/log`));
    content[Math.floor(content.length / 2)] = 0;
    disk.replaceContent(`${FOLDER}/log`, content);
    t.match(await reopen(disk), { code: StorageErrorCode.Corrupt });
  },
);

tap.test('corruption in an acknowledged last append is rejected, not truncated', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  await writeAppends(disk, [{ keptShare: 1, count: 2, bytes: 100 }]);
  const content = Buffer.from(disk.readContent(`${FOLDER}/log`));
  content[content.length - 5] = 0;
  disk.replaceContent(`${FOLDER}/log`, content);
  t.match(await reopen(disk), { code: StorageErrorCode.Corrupt });
});

tap.test('a log file of another disk is rejected', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  await writeAppends(disk, []);
  const other = new SimulatedDisk(createSeededRandom(SEED));
  const createOtherIdentity = (): string => '11111111-89ab-cdef-0123-456789abcdef';
  await DurableStorage.open(FOLDER, { files: other, createIdentity: createOtherIdentity });
  disk.replaceContent(`${FOLDER}/log`, other.readContent(`${FOLDER}/log`));
  t.match(await reopen(disk), { code: StorageErrorCode.IdentityMismatch });
});

tap.test('a data folder without its state file is not treated as empty', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  await writeAppends(disk, [{ keptShare: 1, count: 1, bytes: 100 }]);
  await disk.remove(`${FOLDER}/state`);
  t.match(await reopen(disk), { code: StorageErrorCode.Corrupt });
});

tap.test('a data folder without its log is not treated as empty', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  await writeAppends(disk, [{ keptShare: 1, count: 1, bytes: 100 }]);
  await disk.remove(`${FOLDER}/log`);
  t.match(await reopen(disk), { code: StorageErrorCode.Corrupt });
});

tap.test('a failed sync is not acknowledged, and no later append is accepted', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  const { storage } = await openDisk(disk);
  disk.remainingSyncs = 0;
  const failed = await storage.append(createEntries(1, 1, 1));
  t.equal(unwrapError(failed).code, StorageErrorCode.SyncFailed);
  disk.remainingSyncs = Infinity;
  const later = await storage.append(createEntries(1, 1, 1));
  t.equal(unwrapError(later).code, StorageErrorCode.SyncFailed);
  const state = await storage.saveHardState({ term: 2, votedFor: '', clusterId: 'c' });
  t.equal(unwrapError(state).code, StorageErrorCode.SyncFailed);
});

tap.test(
  'a full disk is reported as DiskFull, and acknowledged entries are recovered',
  async (t) => {
    const disk = new SimulatedDisk(createSeededRandom(SEED));
    const { storage } = await openDisk(disk);
    unwrapResult(await storage.append(createEntries(1, 1, 1)));
    disk.freeBytes = 10;
    const failed = await storage.append(createEntries(2, 1, 1));
    t.equal(unwrapError(failed).code, StorageErrorCode.DiskFull);
    disk.freeBytes = Infinity;
    const refused = await storage.append(createEntries(2, 1, 1));
    t.equal(unwrapError(refused).code, StorageErrorCode.DiskFull);
    const reopened = await openDisk(disk);
    t.equal(describeEntries(reopened.recovered.entries), '1/1/40');
  },
);

tap.test('snapshots bound the size of the data folder', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  const { storage } = await openDisk(disk);
  const sizes = Array.from({ length: 50 }, (_, round) => async () => {
    const lastIndex = (round + 1) * 20;
    unwrapResult(await storage.append(createEntries(lastIndex - 19, 20, 1, 500)));
    const snapshot = { lastIndex, lastTerm: 1, payload: Buffer.alloc(1_000) };
    const base = { index: lastIndex - 5, term: 1 };
    const retained = createEntries(lastIndex - 4, 5, 1, 500);
    unwrapResult(await storage.saveSnapshot(snapshot, retained, base));
    return disk.usedBytes;
  });
  const measured = await sizes.reduce(
    async (previous, write) => [...(await previous), await write()],
    Promise.resolve<number[]>([]),
  );
  t.equal(measured.at(-1), measured.at(0), 'no growth between the first and the last snapshot');
  const { recovered } = await openDisk(disk);
  t.equal(recovered.snapshot?.lastIndex, 1_000);
  t.equal(recovered.baseIndex, 995);
  t.equal(describeEntries(recovered.entries), describeEntries(createEntries(996, 5, 1, 500)));
});

interface Acknowledged {
  entries: StoredEntry[];
  /** The entries of an append that was not acknowledged. */
  attempted: StoredEntry[];
  hardState: HardState;
  attemptedState: HardState;
  snapshotIndex: number;
}

const createAcknowledged = (): Acknowledged => {
  const hardState = { term: 0, votedFor: '', clusterId: '' };
  return { entries: [], attempted: [], hardState, attemptedState: hardState, snapshotIndex: 0 };
};

/** Runs every kind of write until the first failure; records the acknowledged state. */
const runScenario = async (disk: SimulatedDisk, acknowledged: Acknowledged): Promise<void> => {
  const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
  if (opened.isErr()) return;
  const { storage } = opened.value;
  const append = async (entries: StoredEntry[]): Promise<boolean> => {
    const kept = acknowledged.entries.filter(({ index }) => index < (entries[0]?.index ?? 0));
    Object.assign(acknowledged, { attempted: [...kept, ...entries] });
    const appended = await storage.append(entries);
    if (appended.isOk()) Object.assign(acknowledged, { entries: acknowledged.attempted });
    return appended.isOk();
  };
  const save = async (term: number): Promise<boolean> => {
    const attemptedState = { term, votedFor: `v${term}`, clusterId: 'c' };
    Object.assign(acknowledged, { attemptedState });
    const saved = await storage.saveHardState(attemptedState);
    if (saved.isOk()) Object.assign(acknowledged, { hardState: attemptedState });
    return saved.isOk();
  };
  const compact = async (): Promise<boolean> => {
    const snapshot = { lastIndex: 6, lastTerm: 2, payload: Buffer.from('state at 6') };
    const base = { index: 4, term: 1 };
    const saved = await storage.saveSnapshot(snapshot, createEntries(5, 4, 2, 600), base);
    if (saved.isOk()) Object.assign(acknowledged, { snapshotIndex: 6 });
    return saved.isOk();
  };
  const steps = [
    () => save(1),
    () => append(createEntries(1, 3, 1, 700)),
    () => append(createEntries(4, 3, 1, 300)),
    () => save(2),
    () => append(createEntries(5, 4, 2, 600)),
    compact,
    () => append(createEntries(9, 2, 2, 400)),
    () => save(3),
  ];
  await steps.reduce(async (previous, step) => (await previous) && step(), Promise.resolve(true));
};

const describeHardState = ({ term, votedFor, clusterId }: HardState): string =>
  `${term} ${votedFor} ${clusterId}`;

// Guards against a log that can't be opened: a leader with a slow disk syncs entries that it has compacted
// meanwhile, as a majority of others had stored them.
tap.test('entries that a snapshot covers may be appended behind it', async (t) => {
  const disk = new SimulatedDisk(createSeededRandom(SEED));
  const { storage } = await openDisk(disk);
  const snapshot = { lastIndex: 12, lastTerm: 1, payload: Buffer.from('state') };
  const [saved, appended] = await Promise.all([
    storage.saveSnapshot(snapshot, createEntries(11, 5, 1), { index: 10, term: 1 }),
    storage.append(createEntries(6, 11, 1)),
  ]);
  t.ok(saved.isOk() && appended.isOk());
  await storage.close();
  const { recovered } = await openDisk(disk);
  t.equal(recovered.baseIndex, 10);
  t.equal(describeEntries(recovered.entries), describeEntries(createEntries(11, 6, 1)));
});

tap.test('no acknowledged state is lost by a crash at any step', async (t) => {
  const complete = new SimulatedDisk(createSeededRandom(SEED));
  await runScenario(complete, createAcknowledged());
  const steps = Array.from({ length: complete.stepCount }, (_, position) => position + 1);
  const rounds = Array.from({ length: 20 }, (_, position) => position);
  const cases = steps.flatMap((step) => rounds.map((round) => ({ step, round })));
  const problems = await Promise.all(
    cases.map(async ({ step, round }) => {
      const disk = new SimulatedDisk(createSeededRandom(SEED * 1_000_003 + step * 1_009 + round));
      const acknowledged = createAcknowledged();
      disk.stopAtStep = step;
      await runScenario(disk, acknowledged);
      disk.crash();
      const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
      if (opened.isErr()) return `step ${step} round ${round}: ${opened.error.message}`;
      const { recovered } = opened.value;
      const describeAfterBase = (entries: StoredEntry[]): string =>
        describeEntries(entries.filter(({ index }) => index > recovered.baseIndex));
      const found = describeEntries(recovered.entries);
      const hasEntries = [acknowledged.entries, acknowledged.attempted]
        .map(describeAfterBase)
        .includes(found);
      const hasState = [acknowledged.hardState, acknowledged.attemptedState]
        .map(describeHardState)
        .includes(describeHardState(recovered.hardState));
      const hasSnapshot = (recovered.snapshot?.lastIndex ?? 0) >= acknowledged.snapshotIndex;
      const isIntact = recovered.entries.every(isUndamaged);
      return hasEntries && hasState && hasSnapshot && isIntact
        ? undefined
        : `step ${step} round ${round}: found ${found}, acknowledged ${describeAfterBase(acknowledged.entries)}`;
    }),
  );
  t.strictSame(
    problems.filter((problem) => problem !== undefined),
    [],
    `${cases.length} crashes`,
  );
});

tap.test(
  'a crash while a received snapshot is stored leaves either the old log or the snapshot',
  async (t) => {
    const run = async (disk: SimulatedDisk): Promise<void> => {
      const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
      if (opened.isErr()) return;
      const { storage } = opened.value;
      await storage.append(createEntries(1, 5, 1));
      const snapshot = { lastIndex: 100, lastTerm: 7, payload: Buffer.from('state at 100') };
      await storage.saveSnapshot(snapshot, [], { index: 100, term: 7 });
      await storage.append(createEntries(101, 1, 7));
    };
    const complete = new SimulatedDisk(createSeededRandom(SEED));
    await run(complete);
    const steps = Array.from({ length: complete.stepCount }, (_, position) => position + 1);
    const problems = await Promise.all(
      steps.map(async (step) => {
        const disk = new SimulatedDisk(createSeededRandom(SEED * 1_000_003 + step));
        disk.stopAtStep = step;
        await run(disk);
        disk.crash();
        const opened = await DurableStorage.open(FOLDER, { files: disk, createIdentity });
        if (opened.isErr()) return `step ${step}: ${opened.error.message}`;
        const { recovered } = opened.value;
        const expectedBase = recovered.snapshot ? 100 : 0;
        const isIntact = recovered.entries.every(isUndamaged);
        return recovered.baseIndex === expectedBase && isIntact
          ? undefined
          : `step ${step}: log starts after ${recovered.baseIndex}`;
      }),
    );
    t.strictSame(
      problems.filter((problem) => problem !== undefined),
      [],
    );
  },
);
