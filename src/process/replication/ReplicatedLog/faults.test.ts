import tap from 'tap';

import { LinkFault } from '../../../../stand-ins/FaultyPeerClient/index.js';
import {
  ControlCluster,
  createChange,
  waitUntil,
} from '../../../../stand-ins/controlCluster/index.js';
import { createSeededRandom } from '../../../../stand-ins/createSeededRandom/index.js';
import { ApplyOutcome, MemberRole } from '../ControlLog/index.js';
import type { ApplyResult, VersionHolder } from '../ControlLog/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

const SEED = Number(process.env.SEED ?? 1);
const FAULT_COUNT = Number(process.env.FAULTS ?? 25);
const OPERATOR_COUNT = 3;
const MEMBER_COUNT = 5;
const MAX_STOPPED = 2;
const FAULT_INTERVAL_MS = 700;
const SAMPLE_INTERVAL_MS = 5;
const CATCH_UP_MS = 60_000;
// Shortest election timeout less the clock margin.
const LEASE_MS = 450;

interface Attempt {
  requestId: string;
  version: number;
  contentHash: string;
  result: ApplyResult;
}

/** State of one run with random faults. */
interface Run {
  cluster: ControlCluster;
  random: () => number;
  attempts: Attempt[];
  /** Versions that an operator knows to be accepted, with the time of the answer. */
  accepted: { version: number; atMs: number }[];
  problems: string[];
  isOver: boolean;
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Returns the highest version that an operator knew to be accepted at some time. */
const highestAccepted = (run: Run, atMs = Infinity): number =>
  run.accepted
    .filter((accepted) => accepted.atMs <= atMs)
    .reduce((highest, { version }) => Math.max(highest, version), 0);

const pick = <T>(run: Run, values: T[]): T | undefined =>
  values[Math.floor(run.random() * values.length)];

const running = ({ cluster }: Run): string[] =>
  cluster.memberIds().filter((id) => cluster.isRunning(id));

const stopped = ({ cluster }: Run): string[] =>
  cluster.memberIds().filter((id) => !cluster.isRunning(id));

/** Watches that each member sees versions in ascending order. */
const watchOrder = (run: Run, memberId: string): void => {
  let last = 0;
  run.cluster.log(memberId).onCommitted(({ holder }) => {
    if (holder.version <= last) run.problems.push(`${memberId}: ${holder.version} after ${last}`);
    last = holder.version;
  });
};

const startMember = async (run: Run, memberId: string): Promise<void> => {
  Object.assign(run.cluster.files(memberId), { before: () => undefined });
  await run.cluster.startMember(memberId);
  watchOrder(run, memberId);
};

const startAll = async (run: Run): Promise<void> => {
  await Promise.all(stopped(run).map((id) => startMember(run, id)));
};

const cutInTwo = (run: Run): void => {
  const side = run.cluster.memberIds().filter(() => run.random() < 0.5);
  run.cluster.isolate(side);
};

/** Drops requests or responses on some links, in one direction each. */
const dropOnSomeLinks = (run: Run): void => {
  const faults = [LinkFault.None, LinkFault.None, LinkFault.DropRequest, LinkFault.DropResponse];
  const byLink = new Map<string, LinkFault>();
  Object.assign(run.cluster, {
    findFault: (from: string, to: string) => {
      const link = `${from} ${to}`;
      const fault = byLink.get(link) ?? pick(run, faults) ?? LinkFault.None;
      byLink.set(link, fault);
      return fault;
    },
  });
};

const stopOne = async (run: Run): Promise<void> => {
  const memberId = pick(run, running(run));
  if (!memberId || stopped(run).length >= MAX_STOPPED) return;
  await run.cluster.stopMember(memberId);
};

const slowOneDisk = (run: Run): void => {
  const memberId = pick(run, running(run));
  if (!memberId) return;
  const delayMs = run.random() * 300;
  Object.assign(run.cluster.files(memberId), {
    before: (operation: string) => (operation === 'sync' ? pause(delayMs) : undefined),
  });
};

const failOneDisk = (run: Run): void => {
  const memberId = pick(run, running(run));
  if (!memberId || stopped(run).length >= MAX_STOPPED) return;
  Object.assign(run.cluster.files(memberId), {
    before: (operation: string) => {
      if (operation === 'sync') throw new Error('simulated fault');
    },
  });
};

/** Restarts members whose disk has failed, so that later faults find a majority. */
const replaceFailed = async (run: Run): Promise<void> => {
  const failed = running(run).filter((id) => run.cluster.log(id).role === MemberRole.SteppedDown);
  await Promise.all(failed.map((id) => run.cluster.stopMember(id)));
  await Promise.all(failed.map((id) => startMember(run, id)));
};

const repairDisks = (run: Run): void => {
  running(run).forEach((id) => Object.assign(run.cluster.files(id), { before: () => undefined }));
};

/** Returns one line per member, to explain a failure. */
const describeState = (run: Run): string[] =>
  running(run).map((id) => {
    const log = run.cluster.log(id);
    const versions = log.history().map(({ version }) => version);
    const members = log
      .members(readMonotonicNowMs())
      .map(({ memberId, role, isVoter, matchIndex, isReachable, diskIdentity }) =>
        [memberId, role, isVoter, matchIndex, isReachable, diskIdentity.slice(0, 4)].join(' '),
      );
    const identity = log.diskIdentity.slice(0, 4);
    return `${id} ${identity}: ${versions.length} versions to ${versions.at(-1)}; ${members.join('; ')}`;
  });

/** Waits for a condition; an error tells the state of all members. */
const waitOrExplain = async (run: Run, condition: () => boolean, what: string): Promise<void> => {
  try {
    await waitUntil(condition, what, CATCH_UP_MS);
  } catch (error) {
    throw new Error([what, ...describeState(run)].join('\n'), { cause: error });
  }
};

/** Loses a disk while all members agree, and waits until the new one has its vote. */
const loseOneDisk = async (run: Run): Promise<void> => {
  const { cluster } = run;
  cluster.heal();
  repairDisks(run);
  await startAll(run);
  await replaceFailed(run);
  const memberId = pick(run, cluster.memberIds()) ?? '';
  await cluster.waitForLeader();
  await waitOrExplain(
    run,
    () => {
      const leader = cluster.findLeader();
      const members = leader ? cluster.log(leader).members(readMonotonicNowMs()) : [];
      const isCurrent = members.every(
        (member) =>
          member.isVoter &&
          member.isReachable &&
          cluster.log(member.memberId).diskIdentity === member.diskIdentity,
      );
      return members.length === MEMBER_COUNT && isCurrent;
    },
    'every disk has its vote',
  );
  await cluster.wipeDisk(memberId);
  await startMember(run, memberId);
};

const heal = (run: Run): void => run.cluster.heal();

const FAULTS = [
  cutInTwo,
  cutInTwo,
  dropOnSomeLinks,
  heal,
  stopOne,
  stopOne,
  startAll,
  slowOneDisk,
  failOneDisk,
  replaceFailed,
  loseOneDisk,
];

const injectFaults = async (run: Run): Promise<void> => {
  const rounds = Array.from({ length: FAULT_COUNT });
  await rounds.reduce(async (previous: Promise<void>) => {
    await previous;
    await pick(run, FAULTS)?.(run);
    await pause(run.random() * FAULT_INTERVAL_MS);
  }, Promise.resolve());
};

const SUCCESS = [ApplyOutcome.Accepted, ApplyOutcome.AlreadyAccepted];

/** Applies versions through random members until the run is over. */
const operate = async (run: Run, operator: string): Promise<void> => {
  let count = 0;
  while (!run.isOver) {
    count += 1;
    const version = highestAccepted(run) + Math.floor(run.random() * 3);
    const slots = Math.floor(run.random() * 3) + 1;
    const requestId = `${operator}-${count}`;
    const change = createChange(Math.max(1, version), slots, { requestId, operator });
    const memberId = pick(run, running(run));
    if (memberId) {
      const result = await run.cluster.log(memberId).propose(change, Date.now());
      if (SUCCESS.includes(result.outcome)) {
        run.accepted.push({ version: change.configuration.version, atMs: readMonotonicNowMs() });
      }
      const contentHash = Buffer.from(change.configuration.contentHash).toString('hex');
      const attempt = { requestId, version: change.configuration.version, contentHash, result };
      run.attempts.push(attempt);
    }
    await pause(run.random() * 20);
  }
};

const isLeader = (run: Run, memberId: string): boolean =>
  run.cluster.log(memberId).role === MemberRole.Leader;

/** Returns what is wrong with the confirmation of a member; undefined when it gives none. */
const checkConfirmed = (run: Run, memberId: string): string[] | undefined => {
  const nowMs = readMonotonicNowMs();
  const log = run.cluster.log(memberId);
  if (!log.isConfirmed(nowMs)) return undefined;
  // A leader knows all that is committed; a follower what was committed within the lease.
  const knownSinceMs = isLeader(run, memberId) ? nowMs : nowMs - LEASE_MS;
  const expected = highestAccepted(run, knownSinceMs);
  const version = log.committed()?.holder.version ?? 0;
  return version < expected ? [`${memberId} confirms ${version} after ${expected}`] : [];
};

/** Checks that no member calls its version current long after a newer one was accepted. */
const sampleConfirmed = async (run: Run): Promise<number> => {
  let confirmedCount = 0;
  while (!run.isOver) {
    const checked = running(run).map((memberId) => checkConfirmed(run, memberId));
    confirmedCount += checked.filter((problems) => problems !== undefined).length;
    run.problems.push(...checked.flatMap((problems) => problems ?? []));
    await pause(SAMPLE_INTERVAL_MS);
  }
  return confirmedCount;
};

/** Returns what is wrong with an answer, given the final history. */
const checkAttempt = (attempt: Attempt, holders: Map<number, VersionHolder>): string[] => {
  const { result, version, contentHash, requestId } = attempt;
  const holder = holders.get(version);
  const isHeld = holder?.contentHash === contentHash;
  const isOwn = holder?.requestId === requestId;
  const isTrue = {
    [ApplyOutcome.Accepted]: isHeld && isOwn,
    [ApplyOutcome.AlreadyAccepted]: isHeld,
    [ApplyOutcome.Conflict]:
      holder !== undefined && !isHeld && result.holder?.requestId === holder.requestId,
    [ApplyOutcome.Stale]: holder === undefined,
    // None of these changes names a base.
    [ApplyOutcome.BaseMismatch]: false,
    [ApplyOutcome.Unavailable]: !isOwn,
    [ApplyOutcome.Invalid]: false,
    [ApplyOutcome.Unknown]: true,
  }[result.outcome];
  return isTrue ? [] : [`${requestId} version ${version} was answered ${result.outcome}`];
};

tap.test('answers, order and confirmation stay true under random faults', async (t) => {
  t.comment(`seed ${SEED}, ${FAULT_COUNT} faults`);
  const limits = { compactAfterEntries: 40, retainedEntries: 10 };
  const timings = { proposalTimeoutMs: 2_000 };
  const options = { seed: SEED, memberCount: MEMBER_COUNT, limits, timings };
  const cluster = await ControlCluster.start(options);
  t.teardown(() => cluster.close());
  const run: Run = {
    cluster,
    random: createSeededRandom(SEED + 7_919),
    attempts: [],
    accepted: [],
    problems: [],
    isOver: false,
  };
  cluster.memberIds().forEach((id) => watchOrder(run, id));
  const operators = Array.from({ length: OPERATOR_COUNT }, (_, position) =>
    operate(run, `operator${position}`),
  );
  const sampling = sampleConfirmed(run);
  await injectFaults(run);
  cluster.heal();
  repairDisks(run);
  await startAll(run);
  await replaceFailed(run);
  await cluster.waitForLeader();
  await pause(FAULT_INTERVAL_MS);
  run.isOver = true;
  await Promise.all(operators);
  const confirmedCount = await sampling;
  const histories = (): string[] =>
    cluster.memberIds().map((id) =>
      cluster
        .log(id)
        .history()
        .map(({ version, requestId }) => `${version}=${requestId}`)
        .join(),
    );
  await waitOrExplain(
    run,
    () => new Set(histories()).size === 1 && (histories()[0] ?? '') !== '',
    'all members hold the same history',
  );
  const leader = await cluster.waitForLeader();
  const holders = new Map(
    cluster
      .log(leader)
      .history()
      .map((holder) => [holder.version, holder]),
  );
  const wrong = run.attempts.flatMap((attempt) => checkAttempt(attempt, holders));
  const counts = Object.values(ApplyOutcome).map((outcome) => {
    const count = run.attempts.filter(({ result }) => result.outcome === outcome).length;
    return `${outcome} ${count}`;
  });
  t.comment(`${counts.join(', ')}; ${confirmedCount} confirmed samples`);
  t.strictSame(wrong, []);
  t.strictSame(run.problems, []);
  t.ok(holders.size > 0, 'versions were accepted');
});
