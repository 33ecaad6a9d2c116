import { ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { ApplyOutcome, ControlLog } from '../../src/process/replication/ControlLog/index.js';

import type {
  ApplyResult,
  CommittedConfiguration,
  MemberStatus,
  VersionHolder,
} from '../../src/process/replication/ControlLog/index.js';
import type { Rollout, RolloutSet } from '../../src/_generated/foxtailvane/v1/rollouts_pb.js';
import type { Configuration } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';

import { RolloutBook } from '../../src/process/rollouts/RolloutBook/index.js';
import { RolloutOutcome } from '../../src/process/rollouts/types.js';
import type { RolloutResult } from '../../src/process/rollouts/types.js';

/** Control log without replication; tests commit versions directly. */
export default class FakeControlLog extends ControlLog {
  isLeaderKnown = true;

  readonly #versions = new Map<number, CommittedConfiguration>();

  readonly #listeners = new Set<(committed: CommittedConfiguration) => void>();

  #newest: CommittedConfiguration | undefined;

  /** Commits a version, as if the leader had replicated it. */
  commit(configuration: Configuration, nowMs: number): void {
    const { version } = configuration;
    const contentHash = Buffer.from(configuration.contentHash).toString('hex');
    const holder = {
      version,
      contentHash,
      operator: 'test',
      requestId: 'test',
      acceptedAtMs: nowMs,
    };
    const committed = { configuration, holder, logIndex: this.#versions.size + 1 };
    this.#versions.set(version, committed);
    this.#newest = committed;
    this.#listeners.forEach((listener) => listener(committed));
  }

  /** Removes the versions before the given one, as compaction does. */
  removeBefore(version: number): void {
    [...this.#versions.keys()]
      .filter((held) => held < version)
      .forEach((held) => this.#versions.delete(held));
  }

  override async propose(): Promise<ApplyResult> {
    return { outcome: ApplyOutcome.Unavailable, message: 'the fake log accepts no proposals' };
  }

  override committed(): CommittedConfiguration | undefined {
    return this.#newest;
  }

  override async readNewest(): Promise<Result<CommittedConfiguration | undefined, never>> {
    return ok(this.#newest);
  }

  override committedVersion(version: number): CommittedConfiguration | undefined {
    return this.#versions.get(version);
  }

  override isConfirmed(): boolean {
    return this.isLeaderKnown;
  }

  override findHolder(version: number): VersionHolder | undefined {
    return this.#versions.get(version)?.holder;
  }

  override onCommitted(listener: (committed: CommittedConfiguration) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override history(): VersionHolder[] {
    return [...this.#versions.values()].map((committed) => committed.holder);
  }

  override members(): MemberStatus[] {
    return [];
  }

  override readonly rolloutBook = new RolloutBook();

  readonly #rolloutListeners = new Set<() => void>();

  /** Commits an order or a step of a roll-out, as if the leader had replicated it. */
  commitRollout(rollout: Rollout, logIndex: number): void {
    this.rolloutBook.apply(rollout, logIndex);
    this.#rolloutListeners.forEach((listener) => listener());
  }

  override async proposeRollout(): Promise<RolloutResult> {
    return {
      outcome: RolloutOutcome.Unavailable,
      message: 'the fake log accepts no proposals',
    };
  }

  override rollouts(): RolloutSet {
    return this.rolloutBook.set();
  }

  override async readRollouts(): Promise<Result<Rollout[], never>> {
    return ok(this.rolloutBook.list());
  }

  override onRolloutsChanged(listener: () => void): () => void {
    this.#rolloutListeners.add(listener);
    return () => this.#rolloutListeners.delete(listener);
  }
}
