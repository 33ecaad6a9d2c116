/** The replicated log of one control VM: storage, elections, replication and proposals. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import {
  AcceptedVersionSchema,
  DescribeResponseSchema,
  ForwardResponseSchema,
  MemberSchema,
  MembershipSchema,
  ReadIndexResponseSchema,
} from '../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AcceptedVersion,
  ForwardRequest,
  ForwardResponse,
  JoinRequest,
  JoinResponse,
  Membership,
  ReadIndexRequest,
  ReadIndexResponse,
} from '../../../_generated/foxtailvane/v1/replication_pb.js';
import ConnectPeerClient from '../../../connection/replication/ConnectPeerClient/index.js';
import type { Rollout, RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type PeerClient from '../../../connection/replication/PeerClient/index.js';
import { PeerError, PeerErrorCode } from '../../../connection/replication/PeerError/index.js';
import registerReplication from '../../../connection/replication/registerReplication/index.js';
import type { OpenTransportOptions } from '../../../connection/openTransport/index.js';
import { MetricsRegistry } from '../../metrics/index.js';
import type { RolloutBook } from '../../rollouts/RolloutBook/index.js';
import { RolloutOutcome } from '../../rollouts/types.js';
import type { RolloutResult } from '../../rollouts/types.js';
import { DurableStorage } from '../../storage/DurableStorage/index.js';
import type FileOperations from '../../storage/FileOperations/index.js';
import { ApplyOutcome, ControlLog } from '../ControlLog/index.js';
import type {
  ApplyResult,
  CommittedConfiguration,
  CommittedListener,
  ConfigurationChange,
  MemberRole,
  MemberStatus,
  VersionHolder,
} from '../ControlLog/index.js';
import { ReplicationError, ReplicationErrorCode } from '../ReplicationError/index.js';
import { toHolder } from '../_lib/AcceptedVersions/index.js';
import ClientPool from '../_lib/ClientPool/index.js';
import { Leadership } from '../_lib/Leadership/index.js';
import { Replica } from '../_lib/Replica/index.js';
import awaitReadIndex from '../_lib/awaitReadIndex/index.js';
import { bootstrapCluster } from '../_lib/bootstrapCluster/index.js';
import type { InitialMember } from '../_lib/bootstrapCluster/index.js';
import { runElection } from '../_lib/runElection/index.js';
import checkHeader from '../_lib/checkHeader/index.js';
import describeMembers from '../_lib/describeMembers/index.js';
import { handleAppend } from '../_lib/handleAppend/index.js';
import handleSnapshot from '../_lib/handleSnapshot/index.js';
import handleVote from '../_lib/handleVote/index.js';
import { handleJoin, requestJoin, shouldRequestJoin } from '../_lib/joinCluster/index.js';
import { proposeChange } from '../_lib/proposeChange/index.js';
import type { ReplicationContext } from '../_lib/proposeChange/index.js';
import proposeRollout from '../_lib/proposeRollout/index.js';
import { DEFAULT_LIMITS, DEFAULT_TIMINGS } from '../_lib/timings/index.js';
import type { ReplicationLimits, ReplicationTimings } from '../_lib/timings/index.js';
import validateChange from '../_lib/validateChange/index.js';
import readMonotonicNowMs from '../readMonotonicNowMs/index.js';

export type { InitialMember } from '../_lib/bootstrapCluster/index.js';
export type { ReplicationLimits, ReplicationTimings } from '../_lib/timings/index.js';

export interface ReplicatedLogOptions {
  /** Override the defaults in `timings`. */
  timings?: Partial<ReplicationTimings>;
  limits?: Partial<ReplicationLimits>;
  /** Randomizes election timeouts; returns a number from 0 to 1. */
  random?: () => number;
  /** Clock of leases, in milliseconds; `isConfirmed` and `members` expect their `nowMs` from it. */
  readNowMs?: () => number;
  files?: FileOperations;
  /** Metrics registry of the process; replication metrics start with `replication_`. */
  metrics?: MetricsRegistry;
  /** TLS material and ping settings of connections to peers. */
  transport?: OpenTransportOptions;
  /** Replaces the connect-es client, for tests. */
  createClient?: (address: string) => PeerClient;
}

export interface ReplicatedLogSettings {
  /** Name of this VM. */
  memberId: string;
  dataFolder: string;
  /** Defaults to the empty string. */
  dataCentre?: string;
  /** All members at the first start, identical on each; later members come from the log. */
  initialMembers: InitialMember[];
  /**
   * Set if control VMs discover each other without a list of members: they join on their own, and
   * those beyond the initial number of voters remain non-voters.
   */
  discovery?: DiscoverySettings;
}

/** How an unlisted member finds the cluster. */
export interface DiscoverySettings {
  /** `host:port` of this member. */
  address: string;
  /** Addresses of control VMs that receive join requests; some may be wrong or unreachable. */
  contacts: string[];
  /**
   * Voters that the cluster keeps, to bear the loss of fewer than half of them; the initial members
   * by default.
   */
  voterTarget?: number;
  /** Whether this may be the first start of the cluster, so that this member may bootstrap it. */
  mayBootstrap: boolean;
}

/** Interval at which a member checks whether to request to join. */
const JOIN_INTERVAL_MS = 300;

const US_PER_MS = 1_000;

const reject = (message: string): Result<never, PeerError> =>
  err(new PeerError(PeerErrorCode.NotRun, message));

/**
 * Leader-based replicated log of a control VM.
 *
 * @example
 * const opened = await ReplicatedLog.open({ memberId: 'c1', dataFolder, initialMembers });
 * const log = opened._unsafeUnwrap();
 * log.register(router);
 * log.start();
 */
export class ReplicatedLog extends ControlLog {
  readonly #replica: Replica;

  readonly #initialMembers: InitialMember[];

  #discovery: DiscoverySettings | undefined;

  readonly #clients: ClientPool;

  #leadership: Leadership | undefined;

  #isStopped = false;

  #task: Promise<void> | undefined;

  private constructor(
    replica: Replica,
    { initialMembers, discovery }: ReplicatedLogSettings,
    clients: ClientPool,
  ) {
    super();
    this.#replica = replica;
    this.#initialMembers = initialMembers;
    this.#discovery = discovery;
    this.#clients = clients;
  }

  /**
   * Opens the data folder of this VM. The member takes part in replication only after `start`.
   *
   * @param settings - name, data folder and initial members
   * @param options - timings, limits and dependencies
   * @returns the log; InvalidSettings or StorageFailed otherwise
   */
  static async open(
    settings: ReplicatedLogSettings,
    options: ReplicatedLogOptions = {},
  ): Promise<Result<ReplicatedLog, ReplicationError>> {
    const { memberId, dataFolder, initialMembers } = settings;
    const isListed = initialMembers.some((member) => member.memberId === memberId);
    if (!settings.discovery && !isListed) {
      const message = `${memberId} is not among the initial members`;
      return err(new ReplicationError(ReplicationErrorCode.InvalidSettings, message));
    }
    const opened = await DurableStorage.open(dataFolder, {
      ...(options.files && { files: options.files }),
    });
    if (opened.isErr()) {
      const { message } = opened.error;
      return err(new ReplicationError(ReplicationErrorCode.StorageFailed, message, opened.error));
    }
    const replica = new Replica(opened.value, {
      memberId,
      dataCentre: settings.dataCentre ?? '',
      timings: { ...DEFAULT_TIMINGS, ...options.timings },
      limits: { ...DEFAULT_LIMITS, ...options.limits },
      readNowMs: options.readNowMs ?? readMonotonicNowMs,
      random: options.random ?? Math.random,
      voterTarget: settings.discovery && (settings.discovery.voterTarget ?? initialMembers.length),
      metrics: options.metrics ?? new MetricsRegistry(),
    });
    const createClient =
      options.createClient ?? ((address) => new ConnectPeerClient(address, options.transport));
    return ok(new ReplicatedLog(replica, settings, new ClientPool(createClient)));
  }

  /** Identity of the data folder. */
  get diskIdentity(): string {
    return this.#replica.diskIdentity;
  }

  /** Whether the storage has failed, so that this member no longer takes part in replication. */
  get hasFailed(): boolean {
    return this.#replica.failure !== undefined;
  }

  /** Role of this member; also defined before it belongs to a cluster. */
  get role(): MemberRole {
    return this.#replica.role;
  }

  /** Registers the replication service on the router of the `listen` listener. */
  register(router: ConnectRouter): void {
    const replica = this.#replica;
    registerReplication(router, {
      describe: () =>
        create(DescribeResponseSchema, {
          memberId: replica.memberId,
          diskIdentity: replica.diskIdentity,
          dataCentre: replica.options.dataCentre,
          clusterId: replica.isUnused ? '' : replica.clusterId,
        }),
      vote: (request) => this.#runInQueue(() => handleVote(replica, request)),
      append: (request) => this.#runInQueue(() => handleAppend(replica, request)),
      installSnapshot: (request) => this.#runInQueue(() => handleSnapshot(replica, request)),
      forward: (request) => this.#handleForward(request),
      readIndex: (request) => this.#handleReadIndex(request),
      join: async (request) => ok(await this.#handleJoin(request)),
    });
  }

  /** Starts elections and replication; call it after the service is being served. */
  start(): void {
    this.#task ??= this.#runTasks();
  }

  /** Replaces the addresses of the control VMs to contact, after a change of the settings. */
  setContacts(contacts: string[]): void {
    if (this.#discovery) this.#discovery = { ...this.#discovery, contacts };
  }

  /** Stops replication and closes the data folder; the log cannot be started again. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#replica.stopped.notify();
    this.#replica.becomeFollower();
    this.#replica.changed.notify();
    // Aborts pending requests; the second call covers those that the task started meanwhile.
    this.#clients.close();
    await this.#task;
    this.#clients.close();
    await this.#replica.queue.run(() => this.#replica.storage.close());
  }

  async propose(change: ConfigurationChange, nowMs: number): Promise<ApplyResult> {
    const replica = this.#replica;
    const { limits, timings } = replica.options;
    const validated = validateChange(change, nowMs, limits.maxConfigurationBytes);
    if (validated.isErr()) return { outcome: ApplyOutcome.Invalid, message: validated.error };
    const startedAtMs = performance.now();
    const result = await proposeChange(
      this.#createContext(),
      validated.value,
      replica.readNowMs() + timings.proposalTimeoutMs,
    );
    this.#recordOutcome(result, performance.now() - startedAtMs);
    return result;
  }

  async readNewest(
    timeoutMs: number,
  ): Promise<Result<CommittedConfiguration | undefined, ReplicationError>> {
    const replica = this.#replica;
    if (await awaitReadIndex(this.#createContext(), replica.readNowMs() + timeoutMs)) {
      return ok(replica.versions.newestCommitted());
    }
    const message = 'no majority of control VMs has confirmed the newest version';
    return err(new ReplicationError(ReplicationErrorCode.Unconfirmed, message));
  }

  committed(): CommittedConfiguration | undefined {
    return this.#replica.versions.newestCommitted();
  }

  committedVersion(version: number): CommittedConfiguration | undefined {
    return this.#replica.versions.committedVersion(version);
  }

  isConfirmed(nowMs: number): boolean {
    if (this.#isStopped) return false;
    const leadership = this.#findActiveLeadership();
    if (leadership) return leadership.isReady && nowMs < leadership.leaseUntilMs;
    return nowMs < this.#replica.confirmedUntilMs;
  }

  findHolder(version: number): VersionHolder | undefined {
    const accepted = this.#replica.versions.find(version);
    return accepted && toHolder(accepted);
  }

  onCommitted(listener: CommittedListener): () => void {
    return this.#replica.onCommitted(listener);
  }

  history(): VersionHolder[] {
    return this.#replica.versions.list().map(toHolder);
  }

  members(nowMs: number): MemberStatus[] {
    return describeMembers(this.#replica, this.#findActiveLeadership(), this.isConfirmed(nowMs));
  }

  async proposeRollout(rollout: Rollout, nowMs: number): Promise<RolloutResult> {
    const replica = this.#replica;
    const orderedAtMs = BigInt(Math.max(0, Math.floor(nowMs)));
    const deadlineMs = replica.readNowMs() + replica.options.timings.proposalTimeoutMs;
    const proposed = rollout.step === 0 ? { ...rollout, orderedAtMs } : rollout;
    const result = await proposeRollout(this.#createContext(), proposed, deadlineMs);
    const { outcome } = result;
    replica.options.metrics.counter('rollout_proposals_total', { outcome }).value += 1;
    return result;
  }

  rollouts(): RolloutSet {
    return this.#replica.rollouts.set();
  }

  get rolloutBook(): Omit<RolloutBook, 'apply' | 'replace'> {
    return this.#replica.rollouts;
  }

  async readRollouts(timeoutMs: number): Promise<Result<Rollout[], ReplicationError>> {
    const replica = this.#replica;
    if (await awaitReadIndex(this.#createContext(), replica.readNowMs() + timeoutMs)) {
      return ok(replica.rollouts.list());
    }
    const message = 'no majority of control VMs has confirmed the newest roll-outs';
    return err(new ReplicationError(ReplicationErrorCode.Unconfirmed, message));
  }

  onRolloutsChanged(listener: () => void): () => void {
    return this.#replica.onRolloutsChanged(listener);
  }

  /**
   * Adds a VM as a non-voter; it is promoted to a voter once it has caught up. Must be called on
   * the leader.
   *
   * @param member - name and address
   * @returns once committed; NotLeader, Refused or Unknown otherwise
   */
  addMember(member: InitialMember): Promise<Result<void, ReplicationError>> {
    return this.#changeMembership(({ members, ...membership }) =>
      members.some(({ memberId }) => memberId === member.memberId)
        ? undefined
        : create(MembershipSchema, {
            ...membership,
            members: [...members, create(MemberSchema, { ...member, isVoter: false })],
          }),
    );
  }

  /**
   * Removes a VM. Must be called on the leader.
   *
   * @param memberId - name of the VM
   * @returns once committed; NotLeader, Refused or Unknown otherwise
   */
  removeMember(memberId: string): Promise<Result<void, ReplicationError>> {
    return this.#changeMembership(({ members, ...membership }) => {
      const remaining = members.filter((member) => member.memberId !== memberId);
      const isPossible = remaining.length < members.length && remaining.some((m) => m.isVoter);
      return isPossible
        ? create(MembershipSchema, { ...membership, members: remaining })
        : undefined;
    });
  }

  #recordOutcome({ outcome }: ApplyResult, elapsedMs: number): void {
    const { metrics } = this.#replica.options;
    metrics.counter('replication_proposals_total', { outcome }).value += 1;
    metrics.histogram('replication_propose_us').recordValue(Math.round(elapsedMs * US_PER_MS));
  }

  #findActiveLeadership(): Leadership | undefined {
    return this.#leadership?.isActive ? this.#leadership : undefined;
  }

  #createContext(): ReplicationContext {
    return {
      replica: this.#replica,
      findClient: (address) => this.#clients.find(address),
      findLeadership: () => this.#findActiveLeadership(),
      isStopped: () => this.#isStopped,
    };
  }

  async #runTasks(): Promise<void> {
    await Promise.all([this.#runElections(), this.#requestJoinWhenNeeded()]);
  }

  /** Requests to join while there is no contact to a leader, which may have removed this member. */
  async #requestJoinWhenNeeded(): Promise<void> {
    const replica = this.#replica;
    while (!this.#isStopped && this.#discovery) {
      const { address, contacts } = this.#discovery;
      const context = this.#createContext();
      if (shouldRequestJoin(context, replica.readNowMs()))
        await requestJoin(context, address, contacts);
      await replica.stopped.wait(JOIN_INTERVAL_MS);
    }
  }

  async #runElections(): Promise<void> {
    const replica = this.#replica;
    const { heartbeatMs } = replica.options.timings;
    const findClient = (address: string): PeerClient => this.#clients.find(address);
    while (!this.#isStopped) {
      const waitMs = replica.electionDeadlineMs - replica.readNowMs();
      if (replica.failure) {
        await replica.changed.wait(heartbeatMs);
      } else if (replica.isUnused) {
        if (this.#discovery?.mayBootstrap !== false) {
          const { voterTarget } = replica.options;
          await bootstrapCluster(replica, this.#initialMembers, findClient, { voterTarget });
        }
        await replica.changed.wait(heartbeatMs);
      } else if (replica.isVoter && waitMs <= 0) {
        // After a long turn of the event loop, a request of the leader may have arrived unread.
        await nextTurn();
        if (replica.electionDeadlineMs <= replica.readNowMs()) await this.#runElection(findClient);
      } else {
        await replica.changed.wait(waitMs > 0 ? waitMs : heartbeatMs);
      }
    }
  }

  async #runElection(findClient: (address: string) => PeerClient): Promise<void> {
    const term = await runElection(this.#replica, findClient);
    if (term === undefined || this.#isStopped) return;
    this.#leadership = new Leadership(this.#replica, term, findClient);
    await this.#leadership.run();
    this.#leadership = undefined;
  }

  #runInQueue<T>(
    handleRequest: () => Promise<Result<T, PeerError>>,
  ): Promise<Result<T, PeerError>> {
    return this.#replica.queue.run(() =>
      this.#isStopped ? Promise.resolve(reject('this member is stopping')) : handleRequest(),
    );
  }

  async #handleForward(request: ForwardRequest): Promise<Result<ForwardResponse, PeerError>> {
    const checked = checkHeader(this.#replica, request.header);
    if (checked.isErr()) return err(checked.error);
    const leadership = this.#findActiveLeadership();
    const { change, rollout } = request;
    if (leadership && rollout) return this.#handleForwardedRollout(leadership, rollout, request);
    if (!leadership || !change) return ok(create(ForwardResponseSchema, { isLeader: false }));
    const deadlineMs = this.#replica.readNowMs() + request.timeoutMs;
    const { result, mayHaveRun } = await leadership.propose(change, deadlineMs);
    if (!result && !mayHaveRun) return ok(create(ForwardResponseSchema, { isLeader: false }));
    const outcome = result?.outcome ?? ApplyOutcome.Unknown;
    const holder = result?.holder && this.#toHolderMessage(result.holder);
    return ok(
      create(ForwardResponseSchema, {
        isLeader: true,
        outcome,
        message: result?.message ?? '',
        ...(holder && { holder }),
      }),
    );
  }

  async #handleForwardedRollout(
    leadership: Leadership,
    rollout: Rollout,
    { timeoutMs }: ForwardRequest,
  ): Promise<Result<ForwardResponse, PeerError>> {
    const deadlineMs = this.#replica.readNowMs() + timeoutMs;
    const { result, mayHaveRun } = await leadership.proposeRollout(rollout, deadlineMs);
    if (!result && !mayHaveRun) return ok(create(ForwardResponseSchema, { isLeader: false }));
    const { outcome, message } = result ?? { outcome: RolloutOutcome.Unknown, message: '' };
    return ok(create(ForwardResponseSchema, { isLeader: true, outcome, message }));
  }

  async #handleReadIndex(request: ReadIndexRequest): Promise<Result<ReadIndexResponse, PeerError>> {
    const checked = checkHeader(this.#replica, request.header);
    if (checked.isErr()) return err(checked.error);
    const deadlineMs = this.#replica.readNowMs() + request.timeoutMs;
    const commitIndex = await this.#findActiveLeadership()?.confirmReadIndex(deadlineMs);
    const isConfirmed = commitIndex !== undefined;
    return ok(create(ReadIndexResponseSchema, { isConfirmed, commitIndex: commitIndex ?? 0 }));
  }

  #handleJoin(request: JoinRequest): Promise<JoinResponse> {
    return handleJoin(this.#createContext(), request);
  }

  #toHolderMessage(holder: VersionHolder): AcceptedVersion {
    return create(AcceptedVersionSchema, {
      version: holder.version,
      contentHash: Buffer.from(holder.contentHash, 'hex'),
      operator: holder.operator,
      requestId: holder.requestId,
      acceptedAtMs: BigInt(holder.acceptedAtMs),
    });
  }

  async #changeMembership(
    change: (membership: Membership) => Membership | undefined,
  ): Promise<Result<void, ReplicationError>> {
    const leadership = this.#findActiveLeadership();
    if (!leadership?.isReady) {
      const leaderId = this.#replica.leaderId || 'unknown';
      const message = `this member is not the leader (leader: ${leaderId}); the request did not run`;
      return err(new ReplicationError(ReplicationErrorCode.NotLeader, message));
    }
    const next = change(this.#replica.membership);
    const index = next && leadership.appendMembership(next);
    if (index === undefined) {
      const message =
        'the membership does not allow this change, or another change is pending; the request did not run';
      return err(new ReplicationError(ReplicationErrorCode.Refused, message));
    }
    return (await leadership.awaitCommit(index))
      ? ok(undefined)
      : err(
          new ReplicationError(
            ReplicationErrorCode.Unknown,
            'the outcome is not known; the request may have run',
          ),
        );
  }
}
