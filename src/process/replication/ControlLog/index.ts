/** Interface of the replicated log of accepted configuration versions within a control VM. */
import type { Result } from 'neverthrow';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { Rollout, RolloutSet } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { RolloutBook } from '../../rollouts/RolloutBook/index.js';
import type { RolloutResult } from '../../rollouts/types.js';
import type { ReplicationError } from '../ReplicationError/index.js';

/** Outcome of an `apply`. */
export enum ApplyOutcome {
  Accepted = 'ACCEPTED',
  AlreadyAccepted = 'ALREADY_ACCEPTED',
  Conflict = 'CONFLICT',
  Stale = 'STALE',
  /** The base version of the change is not the newest version. */
  BaseMismatch = 'BASE_MISMATCH',
  Invalid = 'INVALID',
  Unavailable = 'UNAVAILABLE',
  Unknown = 'UNKNOWN',
}

/** A configuration version that an operator submits. */
export interface ConfigurationChange {
  /** Chosen by the client; the same for all retries of one `apply`. */
  requestId: string;
  operator: string;
  /** Includes its version and content hash. */
  configuration: Configuration;
  /** Version that must be the newest, 0 for none; not checked if absent. */
  baseVersion?: number;
  /** The document as the operator sent it, kept for reads. */
  document?: Uint8Array;
}

/** The accepted change that holds a version number. */
export interface VersionHolder {
  version: number;
  /** SHA-256 of the content, lower-case hexadecimal. */
  contentHash: string;
  operator: string;
  requestId: string;
  acceptedAtMs: number;
}

export interface ApplyResult {
  outcome: ApplyOutcome;
  /** One sentence for the operator. */
  message: string;
  /** Set for Accepted, AlreadyAccepted, Conflict and Stale; for BaseMismatch if there is one. */
  holder?: VersionHolder;
}

export interface CommittedConfiguration {
  configuration: Configuration;
  holder: VersionHolder;
  /** Index of the log entry. */
  logIndex: number;
  /** The document as the operator sent it, if it was kept. */
  document?: Uint8Array;
}

export enum MemberRole {
  Leader = 'leader',
  Follower = 'follower',
  Candidate = 'candidate',
  NonVoter = 'non-voter',
  SteppedDown = 'stepped-down',
}

export interface MemberStatus {
  /** Name of the VM in its settings. */
  memberId: string;
  /** Identity of the data folder; a replaced disk has a new one. */
  diskIdentity: string;
  address: string;
  dataCentre: string;
  isVoter: boolean;
  /** Last role known to this member. */
  role: MemberRole;
  matchIndex: number;
  isReachable: boolean;
}

/** Called with the holder of a version that was committed. */
export type CommittedListener = (committed: Pick<CommittedConfiguration, 'holder'>) => void;

export abstract class ControlLog {
  /**
   * Submits a configuration version to the leader, which has it accepted by a majority.
   *
   * @param change - the version; the caller has validated its content
   * @param nowMs - current time in milliseconds since the epoch
   * @returns the outcome; never throws for an expected failure
   */
  abstract propose(change: ConfigurationChange, nowMs: number): Promise<ApplyResult>;

  /** Returns the newest committed version known to this member. */
  abstract committed(): CommittedConfiguration | undefined;

  /**
   * Returns the newest version, which a majority confirms after the call.
   *
   * @param timeoutMs - timeout in milliseconds
   * @returns the version, or undefined if none was ever accepted; Unconfirmed if no majority
   *   answered
   */
  abstract readNewest(
    timeoutMs: number,
  ): Promise<Result<CommittedConfiguration | undefined, ReplicationError>>;

  /** Returns a committed version if its configuration is still kept; used to compute deltas. */
  abstract committedVersion(version: number): CommittedConfiguration | undefined;

  /**
   * Reports whether this member leads, or has had contact with a leader, within the lease, so that
   * its newest version is current.
   *
   * @param nowMs - current time on the clock of the leases, in milliseconds
   */
  abstract isConfirmed(nowMs: number): boolean;

  /** Returns the holder of an accepted version. */
  abstract findHolder(version: number): VersionHolder | undefined;

  /**
   * Calls the listener for each newly committed version, in order. The configurations are not passed:
   * after a restart there are many versions, and decoding each would delay the first response.
   *
   * @returns a function that removes the listener
   */
  abstract onCommitted(listener: CommittedListener): () => void;

  /** Returns the holders of all accepted versions, oldest first. */
  abstract history(): VersionHolder[];

  abstract members(nowMs: number): MemberStatus[];

  /**
   * Submits an order (`step` 0) or the next step of a roll-out to the leader. Neither changes the
   * configuration, its version numbers or their base versions.
   *
   * @param rollout - the order, or the whole state after the step
   * @param nowMs - current time in milliseconds since the epoch; recorded with an order
   * @returns the outcome once a majority has synced it; never throws for an expected failure
   */
  abstract proposeRollout(rollout: Rollout, nowMs: number): Promise<RolloutResult>;

  /** Returns the committed roll-outs known to this member, as nodes need them. */
  abstract rollouts(): RolloutSet;

  /** The committed roll-outs known to this member; only to be read. */
  abstract readonly rolloutBook: Omit<RolloutBook, 'apply' | 'replace'>;

  /**
   * Returns all kept roll-outs, oldest first, which a majority confirms after the call.
   *
   * @param timeoutMs - timeout in milliseconds
   * @returns Unconfirmed if no majority answered
   */
  abstract readRollouts(timeoutMs: number): Promise<Result<Rollout[], ReplicationError>>;

  /**
   * Calls the listener after each change of a roll-out.
   *
   * @returns a function that removes the listener
   */
  abstract onRolloutsChanged(listener: () => void): () => void;
}
