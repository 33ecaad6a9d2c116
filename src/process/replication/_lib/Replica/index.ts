import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import {
  LogSnapshotSchema,
  MembershipSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  Member,
  Membership,
  PeerHeader,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import type { MetricsRegistry } from '../../../metrics/index.js';
import { RolloutBook } from '../../../rollouts/RolloutBook/index.js';
import SerialQueue from '../../../storage/SerialQueue/index.js';
import type {
  DurableStorage,
  HardState,
  OpenedStorage,
  StoredSnapshot,
} from '../../../storage/DurableStorage/index.js';
import type { StorageError } from '../../../storage/StorageError/index.js';
import { MemberRole } from '../../ControlLog/index.js';
import type { CommittedListener } from '../../ControlLog/index.js';
import { AcceptedVersions, toHolder } from '../AcceptedVersions/index.js';
import { EntryLog, decodeEntry } from '../EntryLog/index.js';
import type { LogEntry } from '../EntryLog/index.js';
import Notifier from '../Notifier/index.js';
import type { ReplicationLimits, ReplicationTimings } from '../timings/index.js';

const log = createLogger('replication');

// The leader has one request outstanding at a time; the others cover responses that were lost.
const MAX_ANSWERED_REQUESTS = 8;

// Jitter of the pause between two pre-votes, in heartbeats.
const PRE_VOTE_JITTER_HEARTBEATS = 2;

const US_PER_MS = 1_000;

export interface ReplicaOptions {
  memberId: string;
  dataCentre: string;
  timings: ReplicationTimings;
  limits: ReplicationLimits;
  readNowMs: () => number;
  random: () => number;
  /** Voters that the cluster keeps if members discover each other; undefined otherwise. */
  voterTarget?: number | undefined;
  metrics: MetricsRegistry;
}

/** A snapshot that is being received in chunks. */
interface IncomingSnapshot {
  term: number;
  lastIndex: number;
  chunks: Uint8Array[];
  receivedBytes: number;
}

/** Time at which this member answered a request of the leader; bounds the lease it may rely on. */
interface AnsweredRequest {
  term: number;
  sequence: number;
  atMs: number;
}

/**
 * State of one member, shared by its tasks. Requests of peers and changes of term run one after the
 * other in `queue`; stored state is synced before a response is sent.
 */
export class Replica {
  readonly options: ReplicaOptions;

  readonly storage: DurableStorage;

  readonly log: EntryLog;

  readonly versions: AcceptedVersions;

  readonly rollouts = new RolloutBook();

  readonly queue = new SerialQueue();

  /** Notified when the role, term, commit index or membership changes. */
  readonly changed = new Notifier();

  /** Notified when this member stops. */
  readonly stopped = new Notifier();

  role = MemberRole.Follower;

  /** Leader of the current term; empty if unknown. */
  leaderId = '';

  /** Votes and pre-votes are rejected before this time, since a leader may hold a lease. */
  noVoteUntilMs: number;

  electionDeadlineMs = 0;

  /** The newest version of this member is known to be current before this time. */
  confirmedUntilMs = 0;

  answeredRequests: AnsweredRequest[] = [];

  #hardState: HardState;

  #commitIndex: number;

  #durableIndex: number;

  #committedMembership: Membership;

  #committedMembershipIndex: number;

  #failure: StorageError | undefined;

  #isCompacting = false;

  #incomingSnapshot: IncomingSnapshot | undefined;

  readonly #listeners = new Set<CommittedListener>();

  readonly #rolloutListeners = new Set<() => void>();

  constructor({ storage, recovered }: OpenedStorage, options: ReplicaOptions) {
    this.options = options;
    this.storage = storage;
    const entries = recovered.entries.map(decodeEntry);
    this.log = new EntryLog(recovered.baseIndex, recovered.baseTerm, entries);
    this.versions = new AcceptedVersions(options.limits.maxConfigurations);
    this.#durableIndex = this.log.lastIndex;
    this.#commitIndex = recovered.snapshot?.lastIndex ?? 0;
    this.#committedMembership = create(MembershipSchema);
    this.#committedMembershipIndex = 0;
    if (recovered.snapshot) this.#loadSnapshot(recovered.snapshot);
    // The bootstrap of a cluster stores the first entry before its term.
    const term = Math.max(recovered.hardState.term, this.log.lastTerm);
    const votedFor = term === recovered.hardState.term ? recovered.hardState.votedFor : '';
    this.#hardState = { ...recovered.hardState, term, votedFor };
    // A leader may rely on a lease that this member granted before its restart.
    this.noVoteUntilMs = options.readNowMs() + options.timings.electionTimeoutMinMs;
    this.resetElectionDeadline();
    if (!this.isVoter) this.role = MemberRole.NonVoter;
    this.#registerGauges();
  }

  get memberId(): string {
    return this.options.memberId;
  }

  get diskIdentity(): string {
    return this.storage.diskIdentity;
  }

  get term(): number {
    return this.#hardState.term;
  }

  get votedFor(): string {
    return this.#hardState.votedFor;
  }

  get clusterId(): string {
    return this.#hardState.clusterId || this.membership.clusterId;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Index of the last entry of this member's log that is synced. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  get failure(): StorageError | undefined {
    return this.#failure;
  }

  /** The newest membership in the log; it takes effect when appended, before it is committed. */
  get membership(): Membership {
    return this.log.findMembership(this.#commitIndex)?.membership ?? this.#committedMembership;
  }

  get committedMembership(): Membership {
    return this.#committedMembership;
  }

  get isMembershipCommitted(): boolean {
    return this.log.findMembership(this.#commitIndex) === undefined;
  }

  get committedMembershipIndex(): number {
    return this.#committedMembershipIndex;
  }

  /** The membership's entry for this member, if it has the identity of this disk. */
  get ownMember(): Member | undefined {
    return this.membership.members.find(
      (member) => member.memberId === this.memberId && member.diskIdentity === this.diskIdentity,
    );
  }

  get isVoter(): boolean {
    return this.ownMember?.isVoter ?? false;
  }

  /** Whether this disk has never belonged to a cluster. */
  get isUnused(): boolean {
    return this.clusterId === '' && this.log.lastIndex === 0;
  }

  readNowMs(): number {
    return this.options.readNowMs();
  }

  resetElectionDeadline(): void {
    const { electionTimeoutMinMs, electionTimeoutMaxMs } = this.options.timings;
    const spreadMs = electionTimeoutMaxMs - electionTimeoutMinMs;
    this.electionDeadlineMs =
      this.readNowMs() + electionTimeoutMinMs + this.options.random() * spreadMs;
  }

  /**
   * Schedules the next pre-vote shortly after a failed one. A pre-vote changes no state of the
   * voters, and one that failed because a voter had later contact with the lost leader succeeds
   * soon; waiting a whole election timeout would nearly double the time without a leader.
   */
  resetPreVoteDeadline(): void {
    const { heartbeatMs } = this.options.timings;
    this.electionDeadlineMs =
      this.readNowMs() +
      heartbeatMs +
      this.options.random() * heartbeatMs * PRE_VOTE_JITTER_HEARTBEATS;
  }

  /** Delays this member's own election after it granted a pre-vote, to make split votes rare. */
  deferElection(): void {
    const deadlineMs = this.electionDeadlineMs;
    this.resetPreVoteDeadline();
    this.electionDeadlineMs = Math.max(deadlineMs, this.electionDeadlineMs);
  }

  /** Rejects votes and delays elections for one timeout, after leader contact or a granted vote. */
  blockVotes(): void {
    this.noVoteUntilMs = this.readNowMs() + this.options.timings.electionTimeoutMinMs;
    this.resetElectionDeadline();
  }

  /** Stores a change of term, vote or cluster; must be called within `queue`. */
  async saveHardState(change: Partial<HardState>): Promise<Result<void, StorageError>> {
    const next = { ...this.#hardState, clusterId: this.clusterId, ...change };
    const saved = await this.storage.saveHardState(next);
    if (saved.isErr()) {
      this.fail(saved.error);
      return err(saved.error);
    }
    this.#hardState = next;
    return ok(undefined);
  }

  /**
   * Becomes a follower in a term; a newer term is stored first.
   *
   * @param leaderId - leader of the term, empty if unknown
   */
  async follow(term: number, leaderId: string): Promise<Result<void, StorageError>> {
    if (term > this.term) {
      const saved = await this.saveHardState({ term, votedFor: '' });
      if (saved.isErr()) return saved;
      this.clearLeader();
    }
    if (this.leaderId !== leaderId && leaderId !== '') {
      log.info({ memberId: this.memberId, leaderId, term: this.term }, 'following a leader');
    }
    if (leaderId !== '') this.leaderId = leaderId;
    this.becomeFollower();
    return ok(undefined);
  }

  becomeCandidate(): void {
    this.role = MemberRole.Candidate;
  }

  /** Clears the leader of an earlier term and the requests that it was answered. */
  clearLeader(): void {
    this.leaderId = '';
    this.answeredRequests = [];
  }

  /** Truncates the log at the first entry's index and appends; `persist` stores the entries. */
  replaceFrom(entries: LogEntry[]): void {
    const [first] = entries;
    if (!first) return;
    this.log.replaceFrom(entries);
    this.#durableIndex = Math.min(this.#durableIndex, first.index - 1);
  }

  /**
   * Syncs all entries that are not yet known to be synced, in one write. This includes entries that
   * a former leader has sent to its peers but not yet stored itself.
   */
  async persist(): Promise<Result<void, StorageError>> {
    const entries = this.log.from(this.#durableIndex + 1);
    const [first] = entries;
    const last = entries.at(-1);
    if (!first || !last) return ok(undefined);
    const startedAtMs = performance.now();
    const appended = await this.storage.append(entries);
    if (appended.isErr()) {
      this.fail(appended.error);
      return appended;
    }
    const elapsedUs = Math.round((performance.now() - startedAtMs) * US_PER_MS);
    this.options.metrics.histogram('replication_append_us').recordValue(elapsedUs);
    // Some of the entries may have been replaced during the write.
    const isCurrent = this.log.termAt(last.index) === last.term;
    if (isCurrent && this.#durableIndex >= first.index - 1) {
      this.#durableIndex = Math.max(this.#durableIndex, last.index);
    }
    return ok(undefined);
  }

  /** Extends `confirmedUntilMs`; never shortens it. */
  confirmUntil(untilMs: number): void {
    this.confirmedUntilMs = Math.max(this.confirmedUntilMs, untilMs);
  }

  /** Records the time of the response to a numbered request of the leader. */
  recordAnsweredRequest(sequence: number): void {
    if (sequence === 0) return;
    const answer = { term: this.term, sequence, atMs: this.readNowMs() };
    this.answeredRequests = [...this.answeredRequests, answer].slice(-MAX_ANSWERED_REQUESTS);
  }

  /** Adds a chunk to the incoming snapshot; returns false if it does not follow the last chunk. */
  addSnapshotChunk(lastIndex: number, offsetBytes: number, chunk: Uint8Array): boolean {
    if (offsetBytes === 0) {
      this.#incomingSnapshot = { term: this.term, lastIndex, chunks: [], receivedBytes: 0 };
    }
    const incoming = this.#incomingSnapshot;
    const isContiguous =
      incoming?.term === this.term &&
      incoming.lastIndex === lastIndex &&
      incoming.receivedBytes === offsetBytes;
    if (!incoming || !isContiguous) return false;
    incoming.chunks.push(chunk);
    incoming.receivedBytes += chunk.length;
    return true;
  }

  /** Returns the received snapshot and releases its chunks. */
  takeIncomingSnapshot(): Uint8Array {
    const payload = Buffer.concat(this.#incomingSnapshot?.chunks ?? []);
    this.#incomingSnapshot = undefined;
    return payload;
  }

  /** Ends a candidacy or leadership within the current term. */
  becomeFollower(): void {
    if (this.role === MemberRole.SteppedDown) return;
    if (this.role === MemberRole.Leader) {
      log.warn({ memberId: this.memberId, term: this.term }, 'no longer leader');
      if (this.leaderId === this.memberId) this.leaderId = '';
      this.resetElectionDeadline();
    }
    this.role = this.isVoter ? MemberRole.Follower : MemberRole.NonVoter;
    this.changed.notify();
  }

  /** Stops taking part in replication, since this disk may lack entries that it acknowledges. */
  fail(error: StorageError): void {
    if (this.#failure) return;
    this.#failure = error;
    this.role = MemberRole.SteppedDown;
    this.leaderId = '';
    this.confirmedUntilMs = 0;
    log.error(
      { memberId: this.memberId, code: error.code, reason: error.message },
      'storage failed; this member no longer takes part in replication',
    );
    this.changed.notify();
  }

  /** Commits and applies the entries up to an index that a majority has synced. */
  commitTo(index: number): void {
    const target = Math.min(index, this.log.lastIndex);
    if (target <= this.#commitIndex) return;
    const entries = this.log.from(this.#commitIndex + 1).slice(0, target - this.#commitIndex);
    entries.forEach((entry) => this.#apply(entry));
    if (this.role === MemberRole.Follower || this.role === MemberRole.NonVoter) {
      this.role = this.isVoter ? MemberRole.Follower : MemberRole.NonVoter;
    }
    this.changed.notify();
    this.#compactWhenLarge();
  }

  /** Encodes the state after the last applied entry. */
  encodeSnapshot(): StoredSnapshot {
    const lastIndex = this.#commitIndex;
    const snapshot = create(LogSnapshotSchema, {
      membership: this.#committedMembership,
      accepted: this.versions.list(),
      rollouts: this.rollouts.list(),
    });
    return {
      lastIndex,
      lastTerm: this.log.termAt(lastIndex) ?? 0,
      payload: toBinary(LogSnapshotSchema, snapshot),
    };
  }

  /** Replaces log and state with a snapshot of the leader; must be called within `queue`. */
  async installSnapshot(snapshot: StoredSnapshot): Promise<Result<void, StorageError>> {
    const { lastIndex, lastTerm } = snapshot;
    const saved = await this.storage.saveSnapshot(snapshot, [], {
      index: lastIndex,
      term: lastTerm,
    });
    if (saved.isErr()) {
      this.fail(saved.error);
      return saved;
    }
    this.incrementCounter('replication_snapshots_installed_total');
    const previousVersion = this.versions.newest?.version ?? 0;
    this.log.reset(lastIndex, lastTerm);
    this.#durableIndex = lastIndex;
    this.#commitIndex = lastIndex;
    this.#loadSnapshot(snapshot);
    this.role = this.isVoter ? MemberRole.Follower : MemberRole.NonVoter;
    this.versions
      .list()
      .filter(({ version }) => version > previousVersion)
      .forEach(({ version }) => this.#publish(version));
    this.#publishRollouts();
    this.changed.notify();
    return ok(undefined);
  }

  onCommitted(listener: CommittedListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  onRolloutsChanged(listener: () => void): () => void {
    this.#rolloutListeners.add(listener);
    return () => this.#rolloutListeners.delete(listener);
  }

  /** Builds the header of a request to a peer. */
  createHeader(targetDiskIdentity: string): Omit<PeerHeader, '$typeName' | '$unknown'> {
    return {
      clusterId: this.clusterId,
      memberId: this.memberId,
      diskIdentity: this.diskIdentity,
      targetDiskIdentity,
      term: this.term,
    };
  }

  incrementCounter(name: string): void {
    this.options.metrics.counter(name).value += 1;
  }

  #registerGauges(): void {
    const { metrics } = this.options;
    metrics.gauge('replication_term', () => this.term);
    metrics.gauge('replication_commit_index', () => this.#commitIndex);
    metrics.gauge('replication_is_leader', () => Number(this.role === MemberRole.Leader));
    metrics.gauge('replication_has_failed', () => Number(this.#failure !== undefined));
    metrics.gauge('replication_log_bytes', () => this.storage.logBytes);
    metrics.gauge('replication_log_entries', () => this.log.length);
  }

  #loadSnapshot(snapshot: StoredSnapshot): void {
    const decoded = fromBinary(LogSnapshotSchema, snapshot.payload);
    this.versions.replace(decoded.accepted);
    this.rollouts.replace(decoded.rollouts, snapshot.lastIndex);
    this.#committedMembership = decoded.membership ?? create(MembershipSchema);
    this.#committedMembershipIndex = snapshot.lastIndex;
  }

  #apply(entry: LogEntry): void {
    this.#commitIndex = entry.index;
    const { change } = entry.change;
    if (change.case === 'membership') {
      this.#committedMembership = change.value;
      this.#committedMembershipIndex = entry.index;
    }
    if (change.case === 'accepted' && this.versions.apply(change.value, entry.index)) {
      this.#publish(change.value.version);
    }
    if (change.case === 'rollout' && this.rollouts.apply(change.value, entry.index)) {
      this.#publishRollouts();
    }
  }

  #publishRollouts(): void {
    this.#rolloutListeners.forEach((listener) => {
      try {
        listener();
      } catch (error) {
        // A failing listener must not keep committed entries from being applied.
        const reason = error instanceof Error ? error.message : String(error);
        log.error({ memberId: this.memberId, reason }, 'a listener for roll-outs failed');
      }
    });
  }

  #publish(version: number): void {
    const accepted = this.versions.find(version);
    if (!accepted) return;
    const holder = toHolder(accepted);
    this.#listeners.forEach((listener) => {
      try {
        listener({ holder });
      } catch (error) {
        // A failing listener must not keep committed entries from being applied.
        const reason = error instanceof Error ? error.message : String(error);
        log.error(
          { memberId: this.memberId, version, reason },
          'a listener for committed versions failed',
        );
      }
    });
  }

  #compactWhenLarge(): void {
    const { compactAfterEntries, compactAfterBytes, retainedEntries } = this.options.limits;
    const appliedCount = this.#commitIndex - this.log.baseIndex;
    const isLarge =
      appliedCount >= compactAfterEntries + retainedEntries ||
      (this.storage.logBytes >= compactAfterBytes && appliedCount > retainedEntries);
    if (isLarge && !this.#isCompacting) {
      this.#isCompacting = true;
      this.#compact(this.#commitIndex - retainedEntries).finally(() => {
        this.#isCompacting = false;
      });
    }
  }

  async #compact(baseIndex: number): Promise<void> {
    const base = { index: baseIndex, term: this.log.termAt(baseIndex) ?? 0 };
    const snapshot = this.encodeSnapshot();
    // Includes entries that are not synced yet; their writes, queued behind this one, replace or skip them.
    const retained = this.log.from(baseIndex + 1);
    const saved = await this.storage.saveSnapshot(snapshot, retained, base);
    if (saved.isErr()) this.fail(saved.error);
    else this.log.compactTo(baseIndex);
  }
}
