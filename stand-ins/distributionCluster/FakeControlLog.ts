import { ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { ApplyOutcome, ControlLog } from '../../src/process/replication/ControlLog/index.js';

import type {
  ApplyResult,
  CommittedConfiguration,
  MemberStatus,
  VersionHolder,
} from '../../src/process/replication/ControlLog/index.js';
import type { Configuration } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';

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
}
