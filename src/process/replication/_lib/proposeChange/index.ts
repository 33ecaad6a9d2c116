import { create } from '@bufbuild/protobuf';

import { ForwardRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import { ApplyOutcome } from '../../ControlLog/index.js';
import type { ApplyResult } from '../../ControlLog/index.js';
import { toHolder } from '../AcceptedVersions/index.js';
import type { AttemptResult, Leadership } from '../Leadership/index.js';
import type { Replica } from '../Replica/index.js';
import type { FindClient } from '../runElection/index.js';
import { findFinalResult } from '../findFinalResult/index.js';

// Pause before the next attempt if none reached a leader.
const RETRY_MS = 50;

// A leader that does not answer within this time may be lost; the next attempt uses a new one.
const FORWARD_TIMEOUT_MS = 1_500;

const OUTCOMES: string[] = Object.values(ApplyOutcome);

export interface ReplicationContext {
  replica: Replica;
  findClient: FindClient;
  findLeadership: () => Leadership | undefined;
  isStopped: () => boolean;
}

const toOutcome = (text: string): ApplyOutcome =>
  OUTCOMES.includes(text) ? (text as ApplyOutcome) : ApplyOutcome.Unknown;

const forward = async (
  context: ReplicationContext,
  change: AcceptedVersion,
  deadlineMs: number,
): Promise<AttemptResult> => {
  const { replica } = context;
  const leader = replica.membership.members.find(({ memberId }) => memberId === replica.leaderId);
  if (!leader || leader.memberId === replica.memberId) return { mayHaveRun: false };
  const remainingMs = Math.floor(deadlineMs - replica.readNowMs());
  const timeoutMs = Math.min(FORWARD_TIMEOUT_MS, Math.max(1, remainingMs));
  const header = replica.createHeader(leader.diskIdentity);
  const request = create(ForwardRequestSchema, { header, change, timeoutMs });
  const response = await context.findClient(leader.address).forward(request, timeoutMs);
  if (response.isErr()) return { mayHaveRun: response.error.code === PeerErrorCode.Unknown };
  const { isLeader, message } = response.value;
  if (!isLeader) return { mayHaveRun: false };
  const outcome = toOutcome(response.value.outcome);
  if (outcome === ApplyOutcome.Unknown) return { mayHaveRun: true };
  const holder = response.value.holder ? toHolder(response.value.holder) : undefined;
  return { result: { outcome, message, ...(holder && { holder }) }, mayHaveRun: false };
};

const attempt = (
  context: ReplicationContext,
  change: AcceptedVersion,
  deadlineMs: number,
): Promise<AttemptResult> => {
  const leadership = context.findLeadership();
  return leadership ? leadership.propose(change, deadlineMs) : forward(context, change, deadlineMs);
};

/**
 * Converts AlreadyAccepted to Accepted if the holder is this request: an earlier attempt was
 * accepted, but its response was lost.
 */
const convertOwnAcceptance = (
  result: ApplyResult,
  change: AcceptedVersion,
  mayHaveRun: boolean,
): ApplyResult => {
  const isOwn =
    mayHaveRun &&
    result.outcome === ApplyOutcome.AlreadyAccepted &&
    result.holder?.requestId === change.requestId;
  if (!isOwn) return result;
  const message = `version ${change.version} was accepted`;
  return { ...result, outcome: ApplyOutcome.Accepted, message };
};

const createUndecidedResult = (mayHaveRun: boolean, hasFailed: boolean): ApplyResult => {
  if (mayHaveRun) {
    const message = 'the outcome is not known; repeat the request with the same version';
    return { outcome: ApplyOutcome.Unknown, message };
  }
  const reason = hasFailed ? 'the storage of this control VM has failed' : 'there is no leader';
  return { outcome: ApplyOutcome.Unavailable, message: `${reason}; the request did not run` };
};

/**
 * Proposes a change to the leader, local or remote, and retries until the deadline. Retries are
 * safe: the leader detects a repeated request by its version number and content hash.
 *
 * @param context - this member
 * @param change - the change
 * @param deadlineMs - monotonic time at which the call gives up
 */
export const proposeChange = async (
  context: ReplicationContext,
  change: AcceptedVersion,
  deadlineMs: number,
): Promise<ApplyResult> => {
  const { replica } = context;
  let mayHaveRun = false;
  let result: ApplyResult | undefined;
  const shouldContinue = (): boolean =>
    !result && !replica.failure && !context.isStopped() && replica.readNowMs() < deadlineMs;
  while (shouldContinue()) {
    const finalResult = findFinalResult(replica.versions, change);
    const attempted = finalResult
      ? { result: finalResult, mayHaveRun: false }
      : await attempt(context, change, deadlineMs);
    result = attempted.result && convertOwnAcceptance(attempted.result, change, mayHaveRun);
    mayHaveRun ||= attempted.mayHaveRun;
    if (shouldContinue()) await replica.changed.wait(RETRY_MS);
  }
  const finalResult = result ?? findFinalResult(replica.versions, change);
  if (finalResult) return convertOwnAcceptance(finalResult, change, mayHaveRun);
  return createUndecidedResult(mayHaveRun, replica.failure !== undefined);
};
