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
import type { FindClient } from '../campaign/index.js';
import { buildsOn } from '../AcceptedVersions/index.js';
import findNextMembership from '../findNextMembership/index.js';
import { computeQuorumValue } from '../quorum/index.js';
import replicateToPeer from '../replicateToPeer/index.js';
import { hasSameContent, refuseBase, settleChange } from '../settleChange/index.js';

const log = createLogger('replication');

/** How an attempt of a leader to have a change accepted ended. */
export interface AttemptResult {
  /** Set when the outcome is final. */
  result?: ApplyResult;
  /** True when the change may still be accepted although no outcome is known. */
  mayRun: boolean;
}

/** Voters and those that wait to take a place; more would only slow the leader down. */
const MAX_MEMBERS = 15;

const NOT_RUN: AttemptResult = { mayRun: false };

const toAcceptedEntry = (accepted: AcceptedVersion): LogChange['change'] => ({
  case: 'accepted',
  value: accepted,
});

/** One term of this member as leader: a task per peer, one for its own disk, one for its quorum. */
export class Leadership {
  readonly term: number;

  readonly #replica: Replica;

  readonly #findClient: FindClient;

  readonly #peers = new Map<string, PeerProgress>();

  readonly #tasks = new Set<Promise<void>>();

  readonly #startedAtMs: number;

  #startIndex = 0;

  #isPersisting = false;

  /** Calls of `confirmIndex` under way. */
  #confirmWaiters = 0;

  constructor(replica: Replica, term: number, findClient: FindClient) {
    this.#replica = replica;
    this.term = term;
    this.#findClient = findClient;
    this.#startedAtMs = replica.readNowMs();
  }

  /** True until another term starts, the quorum is lost or the disk fails. */
  get isActive(): boolean {
    return this.#replica.role === MemberRole.Leader && this.#replica.term === this.term;
  }

  /** True once everything accepted in earlier terms is known to be committed. */
  get isReady(): boolean {
    return this.#startIndex > 0 && this.#replica.commitIndex >= this.#startIndex;
  }

  /** Until then no other member can have become leader. */
  get leaseUntilMs(): number {
    const { electionTimeoutMinMs, clockMarginMs } = this.#replica.options.timings;
    return this.#quorumContactMs() + electionTimeoutMinMs - clockMarginMs;
  }

  peer(memberId: string): PeerProgress | undefined {
    return this.#peers.get(memberId);
  }

  /** Leads until the term ends; resolves when all tasks have ended. */
  async run(): Promise<void> {
    const { heartbeatMs } = this.#replica.options.timings;
    const isStillCandidate = this.#replica.role === MemberRole.Candidate;
    if (!isStillCandidate || this.#replica.term !== this.term) return;
    this.#replica.role = MemberRole.Leader;
    this.#replica.leaderId = this.#replica.memberId;
    log.info({ memberId: this.#replica.memberId, term: this.term }, 'became leader');
    this.#startIndex = this.append({
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

  /** Appends a change to the log and starts to replicate it; returns its index. */
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

  /** Appends a membership unless another change of membership is under way. */
  appendMembership(membership: Membership): number | undefined {
    if (!this.isActive || !this.isReady || !this.#replica.isMembershipCommitted) return undefined;
    const index = this.append({ case: 'membership', value: membership });
    this.#updatePeers();
    return index;
  }

  /**
   * Has a version accepted.
   *
   * @param change - the version; its log index is ignored
   * @param deadlineMs - monotonic time at which to give up
   */
  async propose(change: AcceptedVersion, deadlineMs: number): Promise<AttemptResult> {
    await this.#waitWhile(() => !this.isReady && this.isActive, deadlineMs);
    const settled = settleChange(this.#replica.versions, change);
    if (settled) return { result: settled, mayRun: false };
    if (!this.isActive || !this.isReady || !this.#hasLease()) return NOT_RUN;
    const pending = this.#findPending(change);
    if (pending) return this.#awaitPending(pending, change, deadlineMs);
    const { versions } = this.#replica;
    return buildsOn(change, versions.newest?.version ?? 0)
      ? this.#appendAndWait(change, deadlineMs)
      : { result: refuseBase(versions, change), mayRun: false };
  }

  /**
   * Confirms with a majority that this member still leads.
   *
   * @param deadlineMs - monotonic time at which to give up
   * @returns an index that covers all that was accepted before the call; undefined when no majority
   *   answered a request that was sent after the call
   */
  async confirmIndex(deadlineMs: number): Promise<number | undefined> {
    const askedAtMs = this.#replica.readNowMs();
    const isConfirmed = (): boolean => this.isReady && this.#quorumContactMs() >= askedAtMs;
    this.#peers.forEach((peer) => peer.wake.notify());
    this.#confirmWaiters += 1;
    await this.#waitWhile(() => this.isActive && !isConfirmed(), deadlineMs);
    this.#confirmWaiters -= 1;
    return this.isActive && isConfirmed() ? this.#replica.commitIndex : undefined;
  }

  /** Adds a member as a non-voter unless it is one already; false when that is not possible now. */
  addMember(member: Member): boolean {
    const { membership } = this.#replica;
    const known = membership.members.some(({ memberId }) => memberId === member.memberId);
    if (known) return true;
    if (membership.members.length >= MAX_MEMBERS) return false;
    const joining = { ...member, isVoter: false };
    const next = { ...membership, members: [...membership.members, joining] };
    return this.appendMembership(next) !== undefined;
  }

  /** Waits until an entry of this term is committed; false when the outcome stays unknown. */
  async awaitCommit(index: number): Promise<boolean> {
    const { proposalTimeoutMs } = this.#replica.options.timings;
    await this.#waitForCommit(index, this.#replica.readNowMs() + proposalTimeoutMs);
    return this.#replica.commitIndex >= index && this.#replica.log.termAt(index) === this.term;
  }

  /** Counts what is synced on a majority as committed, if the last entry is of this term. */
  advanceCommit(): void {
    if (!this.isActive) return;
    const index = computeQuorumValue(this.#voters().map((voter) => this.#matchIndexOf(voter)));
    if (this.#replica.log.termAt(index) !== this.term) return;
    if (index <= this.#replica.commitIndex) return;
    this.#replica.commitTo(index);
    this.#peers.forEach((peer) => peer.wake.notify());
  }

  /** Extends this member's own promise not to help another leader along with the lease. */
  noteContact(): void {
    const untilMs = this.#quorumContactMs() + this.#replica.options.timings.electionTimeoutMinMs;
    if (this.isActive && untilMs > this.#replica.guardUntilMs) this.#replica.guardUntilMs = untilMs;
    if (this.#confirmWaiters > 0) this.#replica.changed.notify();
  }

  #hasLease(): boolean {
    return this.#replica.readNowMs() < this.leaseUntilMs;
  }

  #voters(): Member[] {
    return this.#replica.membership.members.filter((member) => member.isVoter);
  }

  #isSelf(member: Member): boolean {
    return member.diskIdentity === this.#replica.diskIdentity;
  }

  /** The progress of a member, provided that the disk which answers is the one in the membership. */
  #progressOf(member: Member): PeerProgress | undefined {
    const peer = this.#peers.get(member.memberId);
    return peer?.diskIdentity === member.diskIdentity ? peer : undefined;
  }

  #matchIndexOf(voter: Member): number {
    if (this.#isSelf(voter)) return this.#replica.durableIndex;
    return this.#progressOf(voter)?.matchIndex ?? 0;
  }

  #quorumContactMs(): number {
    const nowMs = this.#replica.readNowMs();
    return computeQuorumValue(
      this.#voters().map((voter) =>
        this.#isSelf(voter) ? nowMs : (this.#progressOf(voter)?.contactMs ?? -Infinity),
      ),
    );
  }

  #checkQuorum(): void {
    const contactMs = Math.max(this.#quorumContactMs(), this.#startedAtMs);
    const silentMs = this.#replica.readNowMs() - contactMs;
    if (silentMs <= this.#replica.options.timings.electionTimeoutMinMs) return;
    log.warn(
      { memberId: this.#replica.memberId, term: this.term, silentMs: Math.round(silentMs) },
      'no response of a majority within the election timeout',
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

  /** Syncs this member's own entries, all that wait in one write. */
  async #persist(): Promise<void> {
    if (this.#isPersisting) return;
    this.#isPersisting = true;
    // Appends of the same turn of the event loop share one write.
    await Promise.resolve();
    while (this.isActive && this.#replica.durableIndex < this.#replica.log.lastIndex) {
      const persisted = await this.#replica.persist();
      if (persisted.isOk()) this.advanceCommit();
    }
    this.#isPersisting = false;
  }

  /** Finds an uncommitted version that must be decided before the change can be. */
  #findPending({ version, baseVersion }: AcceptedVersion): LogEntry | undefined {
    return this.#replica.log.from(this.#replica.commitIndex + 1).findLast(({ change }) => {
      const { change: content } = change;
      if (content.case !== 'accepted') return false;
      return baseVersion !== undefined || content.value.version >= version;
    });
  }

  async #awaitPending(
    pending: LogEntry,
    change: AcceptedVersion,
    deadlineMs: number,
  ): Promise<AttemptResult> {
    await this.#waitForCommit(pending.index, deadlineMs);
    const settled = settleChange(this.#replica.versions, change);
    if (settled) return { result: settled, mayRun: false };
    const { change: content } = pending.change;
    const isSame =
      content.case === 'accepted' &&
      content.value.version === change.version &&
      hasSameContent(content.value, change);
    return { mayRun: isSame };
  }

  async #appendAndWait(change: AcceptedVersion, deadlineMs: number): Promise<AttemptResult> {
    const index = this.append(toAcceptedEntry(change));
    await this.#waitForCommit(index, deadlineMs);
    const settled = settleChange(this.#replica.versions, change);
    if (!settled) return { mayRun: this.#replica.commitIndex < index };
    const isOwn =
      settled.outcome === ApplyOutcome.AlreadyAccepted &&
      settled.holder?.requestId === change.requestId;
    if (!isOwn) return { result: settled, mayRun: false };
    const message = `version ${change.version} was accepted`;
    return { result: { ...settled, outcome: ApplyOutcome.Accepted, message }, mayRun: false };
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
