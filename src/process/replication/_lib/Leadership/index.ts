import { create, toBinary } from '@bufbuild/protobuf';

import { LogChangeSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AcceptedVersion,
  LogChange,
  Member,
  Membership,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import { ApplyOutcome, MemberRole } from '../../ControlLog/index.js';
import type { ApplyResult } from '../../ControlLog/index.js';
import { decodeEntry } from '../EntryLog/index.js';
import type { LogEntry } from '../EntryLog/index.js';
import PeerProgress from '../PeerProgress/index.js';
import type { Replica } from '../Replica/index.js';
import type { FindClient } from '../runElection/index.js';
import { hasNewestBase } from '../AcceptedVersions/index.js';
import findNextMembership from '../findNextMembership/index.js';
import { computeQuorumValue } from '../quorum/index.js';
import { computeQuorumTimeoutMs } from '../timings/index.js';
import replicateToPeer from '../replicateToPeer/index.js';
import { createBaseMismatch, findFinalResult, hasSameContent } from '../findFinalResult/index.js';
import type { Rollout } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { checkOrder, checkStep } from '../../../rollouts/checkOrder/index.js';
import { FIRST_STEP } from '../../../rollouts/RolloutBook/index.js';
import { RolloutOutcome } from '../../../rollouts/types.js';
import type { RolloutResult } from '../../../rollouts/types.js';

const log = createLogger('replication');

/** Result of one attempt to have a change accepted by the leader. */
export interface AttemptResult {
  /** Set if the outcome is final. */
  result?: ApplyResult;
  /** Whether the change may have been appended, so that it can still be accepted. */
  mayHaveRun: boolean;
}

/** Result of one attempt to have an order or a step of a roll-out accepted by the leader. */
export interface RolloutAttempt {
  /** Set if the outcome is final. */
  result?: RolloutResult;
  /** Whether it may have been appended, so that it can still be accepted. */
  mayHaveRun: boolean;
}

/** Limit of voters and non-voters together; replicating to more members slows the leader down. */
const MAX_MEMBERS = 15;

const NOT_RUN: { mayHaveRun: false } = { mayHaveRun: false };

const toAcceptedChange = (accepted: AcceptedVersion): LogChange['change'] => ({
  case: 'accepted',
  value: accepted,
});

/**
 * One term of this member as leader. It runs a replication task per peer, a task that syncs its own
 * log and a loop that checks the quorum and advances the membership.
 */
export class Leadership {
  readonly term: number;

  readonly #replica: Replica;

  readonly #findClient: FindClient;

  readonly #peers = new Map<string, PeerProgress>();

  readonly #tasks = new Set<Promise<void>>();

  readonly #startedAtMs: number;

  #termStartIndex = 0;

  #isPersisting = false;

  /** Number of pending `confirmReadIndex` calls. */
  #pendingConfirmCount = 0;

  constructor(replica: Replica, term: number, findClient: FindClient) {
    this.#replica = replica;
    this.term = term;
    this.#findClient = findClient;
    this.#startedAtMs = replica.readNowMs();
  }

  /** Whether this member still leads; false after a newer term, a lost quorum or a failed disk. */
  get isActive(): boolean {
    return this.#replica.role === MemberRole.Leader && this.#replica.term === this.term;
  }

  /** Whether the first entry of this term is committed, and so all entries of earlier terms. */
  get isReady(): boolean {
    return this.#termStartIndex > 0 && this.#replica.commitIndex >= this.#termStartIndex;
  }

  /** End of the lease: no other member can become leader before this time. */
  get leaseUntilMs(): number {
    const { electionTimeoutMinMs, clockMarginMs } = this.#replica.options.timings;
    return this.#computeQuorumContactMs() + electionTimeoutMinMs - clockMarginMs;
  }

  findPeer(memberId: string): PeerProgress | undefined {
    return this.#peers.get(memberId);
  }

  /** Leads until the term ends; resolves when all replication tasks have ended. */
  async run(): Promise<void> {
    const { heartbeatMs } = this.#replica.options.timings;
    const isStillCandidate = this.#replica.role === MemberRole.Candidate;
    if (!isStillCandidate || this.#replica.term !== this.term) return;
    this.#replica.role = MemberRole.Leader;
    this.#replica.leaderId = this.#replica.memberId;
    log.info({ memberId: this.#replica.memberId, term: this.term }, 'became leader');
    this.#termStartIndex = this.append({
      case: 'leaderStart',
      value: { $typeName: 'foxtailvane.v1.LeaderStart', memberId: this.#replica.memberId },
    });
    this.#replica.changed.notify();
    while (this.isActive) {
      this.#updatePeers();
      this.#checkQuorum();
      this.#stepDownWhenRemoved();
      this.#advanceMembership();
      if (this.isActive) await this.#replica.changed.wait(heartbeatMs);
    }
    this.#peers.forEach((peer) => peer.wake.notify());
    await Promise.all(this.#tasks);
  }

  /** Appends a change to the log and starts its replication; returns the index of the entry. */
  append(change: LogChange['change']): number {
    const content = create(LogChangeSchema, { change });
    const entry = decodeEntry({
      index: this.#replica.log.lastIndex + 1,
      term: this.term,
      payload: toBinary(LogChangeSchema, content),
    });
    this.#replica.replaceFrom([entry]);
    this.#startTask(this.#persist());
    this.#peers.forEach((peer) => peer.wake.notify());
    return entry.index;
  }

  /**
   * Appends a membership.
   *
   * @returns the index of the entry; undefined while another membership change is uncommitted
   */
  appendMembership(membership: Membership): number | undefined {
    if (!this.isActive || !this.isReady || !this.#replica.isMembershipCommitted) return undefined;
    const index = this.append({ case: 'membership', value: membership });
    this.#updatePeers();
    return index;
  }

  /**
   * Appends a version and waits until it is committed or rejected.
   *
   * @param change - the version; its log index is ignored
   * @param deadlineMs - monotonic time at which the wait ends
   */
  async propose(change: AcceptedVersion, deadlineMs: number): Promise<AttemptResult> {
    await this.#waitWhile(() => !this.isReady && this.isActive, deadlineMs);
    const finalResult = findFinalResult(this.#replica.versions, change);
    if (finalResult) return { result: finalResult, mayHaveRun: false };
    if (!this.isActive || !this.isReady || !this.#hasLease()) return NOT_RUN;
    const pending = this.#findPendingEntry(change);
    if (pending) return this.#awaitPendingEntry(pending, change, deadlineMs);
    const { versions } = this.#replica;
    return hasNewestBase(change, versions.newest?.version ?? 0)
      ? this.#appendAndWait(change, deadlineMs)
      : { result: createBaseMismatch(versions, change), mayHaveRun: false };
  }

  /**
   * Appends an order or a step of a roll-out and waits until it is committed or refused. Waits for
   * those before it, so that each is checked against the state that it changes.
   *
   * @param rollout - an order if its `step` is 0, otherwise the whole state after the step
   * @param deadlineMs - monotonic time at which the wait ends
   */
  async proposeRollout(rollout: Rollout, deadlineMs: number): Promise<RolloutAttempt> {
    await this.#waitWhile(
      () => this.isActive && (!this.isReady || this.#hasPendingRollout()),
      deadlineMs,
    );
    const canAppend = this.isActive && this.isReady && !this.#hasPendingRollout();
    if (!canAppend || !this.#hasLease()) return NOT_RUN;
    const { rollouts, versions } = this.#replica;
    const isOrder = rollout.step < FIRST_STEP;
    const result = isOrder
      ? checkOrder(rollouts, rollout, versions.newestCommitted()?.configuration)
      : checkStep(rollouts, rollout);
    if (result) return { result, mayHaveRun: false };
    const value = isOrder ? { ...rollout, id: rollouts.lastId + 1, step: FIRST_STEP } : rollout;
    const index = this.append({ case: 'rollout', value });
    await this.#waitForCommit(index, deadlineMs);
    const isCommitted =
      this.#replica.commitIndex >= index && this.#replica.log.termAt(index) === this.term;
    if (!isCommitted) return { mayHaveRun: true };
    const message = `roll-out ${value.id} of ${value.service}, step ${value.step}, was accepted`;
    return { result: { outcome: RolloutOutcome.Accepted, message }, mayHaveRun: false };
  }

  /**
   * Confirms with a majority that this member still leads.
   *
   * @param deadlineMs - monotonic time at which the wait ends
   * @returns a commit index that covers every version accepted before the call; undefined if no
   *   majority answered a request that was sent after the call
   */
  async confirmReadIndex(deadlineMs: number): Promise<number | undefined> {
    const calledAtMs = this.#replica.readNowMs();
    const isConfirmed = (): boolean => this.isReady && this.#computeQuorumContactMs() >= calledAtMs;
    this.#peers.forEach((peer) => peer.wake.notify());
    this.#pendingConfirmCount += 1;
    await this.#waitWhile(() => this.isActive && !isConfirmed(), deadlineMs);
    this.#pendingConfirmCount -= 1;
    return this.isActive && isConfirmed() ? this.#replica.commitIndex : undefined;
  }

  /**
   * Adds a member as a non-voter, unless it is a member already.
   *
   * @returns false if the membership is full or cannot be changed at present
   */
  addMember(member: Member): boolean {
    const { membership } = this.#replica;
    const known = membership.members.some(({ memberId }) => memberId === member.memberId);
    if (known) return true;
    if (membership.members.length >= MAX_MEMBERS) return false;
    const joining = { ...member, isVoter: false };
    const next = { ...membership, members: [...membership.members, joining] };
    return this.appendMembership(next) !== undefined;
  }

  /** Waits until an entry of this term is committed; returns false if that is not known in time. */
  async awaitCommit(index: number): Promise<boolean> {
    const { proposalTimeoutMs } = this.#replica.options.timings;
    await this.#waitForCommit(index, this.#replica.readNowMs() + proposalTimeoutMs);
    return this.#replica.commitIndex >= index && this.#replica.log.termAt(index) === this.term;
  }

  /** Commits the entries that a majority has synced, provided the last of them is of this term. */
  advanceCommit(): void {
    if (!this.isActive) return;
    const index = computeQuorumValue(this.#listVoters().map((voter) => this.#getMatchIndex(voter)));
    if (this.#replica.log.termAt(index) !== this.term) return;
    if (index <= this.#replica.commitIndex) return;
    this.#replica.commitTo(index);
    this.#peers.forEach((peer) => peer.wake.notify());
  }

  /**
   * Processes a response of a peer: blocks this member's votes for other candidates as long as the
   * extended lease requires, and wakes pending `confirmReadIndex` calls.
   */
  handleContact(): void {
    const untilMs =
      this.#computeQuorumContactMs() + this.#replica.options.timings.electionTimeoutMinMs;
    if (this.isActive && untilMs > this.#replica.noVoteUntilMs)
      this.#replica.noVoteUntilMs = untilMs;
    if (this.#pendingConfirmCount > 0) this.#replica.changed.notify();
  }

  #hasPendingRollout(): boolean {
    return this.#replica.log
      .from(this.#replica.commitIndex + 1)
      .some(({ change }) => change.change.case === 'rollout');
  }

  #hasLease(): boolean {
    return this.#replica.readNowMs() < this.leaseUntilMs;
  }

  #listVoters(): Member[] {
    return this.#replica.membership.members.filter((member) => member.isVoter);
  }

  #isSelf(member: Member): boolean {
    return member.diskIdentity === this.#replica.diskIdentity;
  }

  /** Returns the progress of a member if its peer reports the disk identity of the membership. */
  #findProgress(member: Member): PeerProgress | undefined {
    const peer = this.#peers.get(member.memberId);
    return peer?.diskIdentity === member.diskIdentity ? peer : undefined;
  }

  #getMatchIndex(voter: Member): number {
    if (this.#isSelf(voter)) return this.#replica.durableIndex;
    return this.#findProgress(voter)?.matchIndex ?? 0;
  }

  #computeQuorumContactMs(): number {
    const nowMs = this.#replica.readNowMs();
    return computeQuorumValue(
      this.#listVoters().map((voter) =>
        this.#isSelf(voter) ? nowMs : (this.#findProgress(voter)?.contactMs ?? -Infinity),
      ),
    );
  }

  #checkQuorum(): void {
    const contactMs = Math.max(this.#computeQuorumContactMs(), this.#startedAtMs);
    const silentMs = this.#replica.readNowMs() - contactMs;
    if (silentMs <= computeQuorumTimeoutMs(this.#replica.options.timings)) return;
    log.warn(
      { memberId: this.#replica.memberId, term: this.term, silentMs: Math.round(silentMs) },
      'no responses from a majority within the quorum timeout; stepping down',
    );
    this.#replica.becomeFollower();
  }

  #stepDownWhenRemoved(): void {
    const isRemoved = this.#replica.isMembershipCommitted && !this.#replica.isVoter;
    if (this.isActive && isRemoved) this.#replica.becomeFollower();
  }

  #advanceMembership(): void {
    if (!this.isActive || !this.isReady || !this.#replica.isMembershipCommitted) return;
    const next = findNextMembership(this.#replica, this.#peers, this.#replica.readNowMs());
    if (next) this.appendMembership(next);
  }

  #updatePeers(): void {
    const { members } = this.#replica.membership;
    const others = members.filter((member) => member.memberId !== this.#replica.memberId);
    const isCurrent = (peer: PeerProgress): boolean =>
      others.some(
        ({ memberId, address }) => memberId === peer.memberId && address === peer.address,
      );
    const obsolete = [...this.#peers.values()].filter((peer) => !isCurrent(peer));
    obsolete.forEach((peer) => this.#removePeer(peer));
    others
      .filter(({ memberId }) => !this.#peers.has(memberId))
      .forEach((member) => this.#addPeer(member));
  }

  #removePeer(peer: PeerProgress): void {
    this.#peers.delete(peer.memberId);
    Object.assign(peer, { isRemoved: true });
    peer.wake.notify();
  }

  #addPeer(member: Member): void {
    const { memberId, address, diskIdentity } = member;
    const client = this.#findClient(address);
    const peer = new PeerProgress(memberId, address, client, this.#replica.log.lastIndex);
    peer.addedAtMs = this.#replica.readNowMs();
    peer.diskIdentity = diskIdentity;
    this.#peers.set(memberId, peer);
    this.#startTask(replicateToPeer(this, this.#replica, peer));
  }

  #startTask(task: Promise<void>): void {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
  }

  /** Syncs this member's own log, with one write for all entries that are not yet synced. */
  async #persist(): Promise<void> {
    if (this.#isPersisting) return;
    this.#isPersisting = true;
    // Collects the appends of the same turn of the event loop into one write.
    await Promise.resolve();
    while (this.isActive && this.#replica.durableIndex < this.#replica.log.lastIndex) {
      const persisted = await this.#replica.persist();
      if (persisted.isOk()) this.advanceCommit();
    }
    this.#isPersisting = false;
  }

  /** Finds the last uncommitted version whose outcome determines that of the change. */
  #findPendingEntry({ version, baseVersion }: AcceptedVersion): LogEntry | undefined {
    return this.#replica.log.from(this.#replica.commitIndex + 1).findLast(({ change }) => {
      const { change: content } = change;
      if (content.case !== 'accepted') return false;
      return baseVersion !== undefined || content.value.version >= version;
    });
  }

  async #awaitPendingEntry(
    pending: LogEntry,
    change: AcceptedVersion,
    deadlineMs: number,
  ): Promise<AttemptResult> {
    await this.#waitForCommit(pending.index, deadlineMs);
    const finalResult = findFinalResult(this.#replica.versions, change);
    if (finalResult) return { result: finalResult, mayHaveRun: false };
    const { change: content } = pending.change;
    const isSame =
      content.case === 'accepted' &&
      content.value.version === change.version &&
      hasSameContent(content.value, change);
    return { mayHaveRun: isSame };
  }

  async #appendAndWait(change: AcceptedVersion, deadlineMs: number): Promise<AttemptResult> {
    const index = this.append(toAcceptedChange(change));
    await this.#waitForCommit(index, deadlineMs);
    const finalResult = findFinalResult(this.#replica.versions, change);
    if (!finalResult) return { mayHaveRun: this.#replica.commitIndex < index };
    const isOwn =
      finalResult.outcome === ApplyOutcome.AlreadyAccepted &&
      finalResult.holder?.requestId === change.requestId;
    if (!isOwn) return { result: finalResult, mayHaveRun: false };
    const message = `version ${change.version} was accepted`;
    return {
      result: { ...finalResult, outcome: ApplyOutcome.Accepted, message },
      mayHaveRun: false,
    };
  }

  #waitForCommit(index: number, deadlineMs: number): Promise<void> {
    return this.#waitWhile(() => this.#replica.commitIndex < index && this.isActive, deadlineMs);
  }

  async #waitWhile(isWaiting: () => boolean, deadlineMs: number): Promise<void> {
    while (isWaiting() && this.#replica.readNowMs() < deadlineMs) {
      await this.#replica.changed.wait(deadlineMs - this.#replica.readNowMs());
    }
  }
}
