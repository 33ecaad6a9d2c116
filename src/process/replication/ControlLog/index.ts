/** The replicated log of accepted configuration versions, as the rest of a control VM sees it. */
import type { Result } from 'neverthrow';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ReplicationError } from '../ReplicationError/index.js';

/** How an `apply` ended. */
export enum ApplyOutcome {
  Accepted = 'ACCEPTED',
  AlreadyAccepted = 'ALREADY_ACCEPTED',
  Conflict = 'CONFLICT',
  Stale = 'STALE',
  /** The version that the change builds on is not the newest. */
  BaseMismatch = 'BASE_MISMATCH',
  Invalid = 'INVALID',
  Unavailable = 'UNAVAILABLE',
  Unknown = 'UNKNOWN',
}

/** A configuration version that an operator wants accepted. */
export interface ConfigurationChange {
  /** Chosen by the client; the same for every resend of one `apply`. */
  requestId: string;
  operator: string;
  /** Carries its version and content hash. */
  configuration: Configuration;
  /** Version that has to be the newest, 0 for none; any when absent. */
  baseVersion?: number;
  /** What the operator sent, kept for reads. */
  document?: Uint8Array;
}

/** Who holds a version number. */
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
  /** Set for Accepted, AlreadyAccepted, Conflict and Stale. */
  holder?: VersionHolder;
}

export interface CommittedConfiguration {
  configuration: Configuration;
  holder: VersionHolder;
  /** Index of the log entry. */
  logIndex: number;
  /** What the operator sent, if it was kept. */
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
  /** Name of the VM from its settings. */
  memberId: string;
  /** Identity of the data folder; changes when the disk is lost. */
  diskIdentity: string;
  address: string;
  dataCentre: string;
  isVoter: boolean;
  /** Role as last known by this member. */
  role: MemberRole;
  matchIndex: number;
  isReachable: boolean;
}

export abstract class ControlLog {
  /**
   * Has a configuration version accepted by a majority, through the leader.
   *
   * @param change - the version; its content was validated by the caller
   * @param nowMs - present time in milliseconds since the epoch
   * @returns the outcome; never throws for an expected failure
   */
  abstract propose(change: ConfigurationChange, nowMs: number): Promise<ApplyResult>;

  /** Returns the newest version that this member knows to be committed. */
  abstract committed(): CommittedConfiguration | undefined;

  /**
   * Returns the newest version, confirmed by a majority after the call.
   *
   * @param timeoutMs - longest wait in milliseconds
   * @returns the version, undefined when none was ever accepted; Unconfirmed when no majority answered
   */
  abstract readNewest(
    timeoutMs: number,
  ): Promise<Result<CommittedConfiguration | undefined, ReplicationError>>;

  /** Returns an older committed version if it is still held, for computing deltas. */
  abstract committedVersion(version: number): CommittedConfiguration | undefined;

  /**
   * Tells whether this member heard from a leader within the lease, so that its newest version is
   * current.
   */
  abstract isConfirmed(nowMs: number): boolean;

  /** Calls the listener for each newly committed version, in order; returns the unsubscriber. */
  abstract onCommitted(listener: (committed: CommittedConfiguration) => void): () => void;

  /** Returns the accepted versions still known, oldest first. */
  abstract history(): VersionHolder[];

  abstract members(nowMs: number): MemberStatus[];
}
