/** Control log whose results a test sets. */
import { create } from '@bufbuild/protobuf';
import { ok } from 'neverthrow';

import type { Result } from 'neverthrow';

import type {
  ApplyResult,
  CommittedConfiguration,
  ConfigurationChange,
  MemberStatus,
  VersionHolder,
} from '../../src/process/replication/ControlLog/index.js';
import type { Rollout, RolloutSet } from '../../src/_generated/foxtailvane/v1/rollouts_pb.js';
import type { Configuration } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { ConfigurationSchema } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { hashConfiguration } from '../../src/version/hashConfiguration/index.js';
import {
  ApplyOutcome,
  ControlLog,
  MemberRole,
} from '../../src/process/replication/ControlLog/index.js';

import { RolloutBook } from '../../src/process/rollouts/RolloutBook/index.js';
import { RolloutOutcome } from '../../src/process/rollouts/types.js';
import type { RolloutResult } from '../../src/process/rollouts/types.js';

export const FAKE_HOLDER: VersionHolder = {
  version: 4,
  contentHash: 'ab',
  operator: 'ada',
  requestId: 'r-4',
  acceptedAtMs: 995_000,
};

const MEMBERS: MemberStatus[] = [
  { memberId: 'control-1', role: MemberRole.Leader, isReachable: true },
  { memberId: 'control-2', role: MemberRole.Follower, isReachable: false },
].map((member) => ({
  ...member,
  diskIdentity: member.memberId,
  address: '127.0.0.1:7400',
  dataCentre: 'dc-1',
  isVoter: true,
  matchIndex: 9,
}));

export class FakeControlLog extends ControlLog {
  /** Proposed changes, in order. */
  readonly changes: ConfigurationChange[] = [];

  /** Result of every proposal; an Error rejects it. */
  result: ApplyResult | Error = { outcome: ApplyOutcome.Accepted, message: 'done' };

  holder: VersionHolder | undefined = FAKE_HOLDER;

  configuration: Configuration = create(ConfigurationSchema, {
    version: FAKE_HOLDER.version,
    contentHash: hashConfiguration({ services: [], routes: [] }),
  });

  holders: VersionHolder[] = [FAKE_HOLDER];

  propose(change: ConfigurationChange): Promise<ApplyResult> {
    this.changes.push(change);
    return this.result instanceof Error
      ? Promise.reject(this.result)
      : Promise.resolve(this.result);
  }

  committed(): CommittedConfiguration | undefined {
    return this.holder && { configuration: this.configuration, holder: this.holder, logIndex: 9 };
  }

  readNewest(): Promise<Result<CommittedConfiguration | undefined, never>> {
    return Promise.resolve(ok(this.committed()));
  }

  committedVersion(): undefined {}

  isConfirmed(): boolean {
    return true;
  }

  findHolder(version: number): VersionHolder | undefined {
    return this.holders.find((holder) => holder.version === version);
  }

  onCommitted(): () => void {
    return () => {};
  }

  history(): VersionHolder[] {
    return this.holders;
  }

  members(): MemberStatus[] {
    return MEMBERS;
  }

  readonly rolloutBook = new RolloutBook();

  /** Proposed orders and steps of roll-outs; those answered with Accepted are applied. */
  readonly proposedRollouts: Rollout[] = [];

  rolloutResult: RolloutResult = { outcome: RolloutOutcome.Accepted, message: 'done' };

  readonly #rolloutListeners = new Set<() => void>();

  proposeRollout(rollout: Rollout): Promise<RolloutResult> {
    this.proposedRollouts.push(rollout);
    if (this.rolloutResult.outcome === RolloutOutcome.Accepted) {
      const order = { ...rollout, id: this.rolloutBook.lastId + 1, step: 1 };
      this.rolloutBook.apply(rollout.step === 0 ? order : rollout, this.proposedRollouts.length);
      this.#rolloutListeners.forEach((listener) => listener());
    }
    return Promise.resolve(this.rolloutResult);
  }

  rollouts(): RolloutSet {
    return this.rolloutBook.set();
  }

  readRollouts(): Promise<Result<Rollout[], never>> {
    return Promise.resolve(ok(this.rolloutBook.list()));
  }

  onRolloutsChanged(listener: () => void): () => void {
    this.#rolloutListeners.add(listener);
    return () => this.#rolloutListeners.delete(listener);
  }
}
