import tap from 'tap';

import { encodeChange } from '../../../../../stand-ins/createTestReplica/index.js';
import { EntryLog, decodeEntry } from './index.js';
import type { LogEntry } from './index.js';

const createEntries = (firstIndex: number, terms: number[]): LogEntry[] =>
  terms.map((term, position) => {
    const value = { $typeName: 'foxtailvane.v1.LeaderStart', memberId: 'c1' } as const;
    const payload = encodeChange({ case: 'leaderStart', value });
    return decodeEntry({ index: firstIndex + position, term, payload });
  });

tap.test('compaction keeps indexes and the term before the first entry', async (t) => {
  const log = new EntryLog(0, 0, createEntries(1, [1, 1, 2, 2, 3]));
  log.compactTo(3);
  t.equal(log.baseIndex, 3);
  t.equal(log.termAt(3), 2);
  t.equal(log.termAt(2), undefined);
  t.equal(log.entryAt(3), undefined);
  t.equal(log.entryAt(4)?.term, 2);
  t.equal(log.lastIndex, 5);
  log.compactTo(2);
  t.equal(log.baseIndex, 3, 'a compaction to an earlier index changes nothing');
});

tap.test('replacing an entry drops all entries after it', async (t) => {
  const log = new EntryLog(2, 1, createEntries(3, [1, 1, 1]));
  log.replaceFrom(createEntries(4, [2]));
  t.strictSame(
    log.from(0).map(({ index, term }) => `${index}/${term}`),
    ['3/1', '4/2'],
  );
});

tap.test('a batch contains at least one entry, regardless of its size', async (t) => {
  const log = new EntryLog(0, 0, createEntries(1, [1, 1, 1]));
  t.equal(log.batchFrom(1, 0).length, 1);
  t.equal(log.batchFrom(2, 1_000).length, 2);
  t.equal(log.batchFrom(4, 1_000).length, 0);
});

tap.test('a log that was reset to a snapshot has the last index and term of it', async (t) => {
  const log = new EntryLog(0, 0, createEntries(1, [1]));
  log.reset(50, 4);
  t.strictSame([log.lastIndex, log.lastTerm, log.length], [50, 4, 0]);
});
