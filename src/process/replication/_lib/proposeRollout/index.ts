import { create } from '@bufbuild/protobuf';

import { ForwardRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { Rollout } from '../../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import { RolloutOutcome } from '../../../rollouts/types.js';
import type { RolloutResult } from '../../../rollouts/types.js';
import type { RolloutAttempt } from '../Leadership/index.js';
import type { ReplicationContext } from '../proposeChange/index.js';

// Pause before the next attempt if none reached a leader.
const RETRY_MS = 50;

// A leader that does not answer within this time may be lost; the next attempt uses a new one.
const FORWARD_TIMEOUT_MS = 1_000;

const NOT_RUN: RolloutAttempt = { mayHaveRun: false };

const OUTCOMES: string[] = Object.values(RolloutOutcome);

const toOutcome = (text: string): RolloutOutcome =>
  OUTCOMES.includes(text) ? (text as RolloutOutcome) : RolloutOutcome.Unknown;

const forward = async (
  { replica, findClient }: ReplicationContext,
  rollout: Rollout,
  deadlineMs: number,
): Promise<RolloutAttempt> => {
  const leader = replica.membership.members.find(({ memberId }) => memberId === replica.leaderId);
  if (!leader || leader.memberId === replica.memberId) return NOT_RUN;
  const remainingMs = Math.max(1, Math.floor(deadlineMs - replica.readNowMs()));
  const timeoutMs = Math.min(FORWARD_TIMEOUT_MS, remainingMs);
  const header = replica.createHeader(leader.diskIdentity);
  const request = create(ForwardRequestSchema, { header, rollout, timeoutMs });
  const response = await findClient(leader.address).forward(request, timeoutMs);
  if (response.isErr()) return { mayHaveRun: response.error.code === PeerErrorCode.Unknown };
  const { isLeader, message } = response.value;
  if (!isLeader) return NOT_RUN;
  const outcome = toOutcome(response.value.outcome);
  if (outcome === RolloutOutcome.Unknown) return { mayHaveRun: true };
  return { result: { outcome, message }, mayHaveRun: false };
};

const createUndecidedResult = (mayHaveRun: boolean): RolloutResult =>
  mayHaveRun
    ? { outcome: RolloutOutcome.Unknown, message: 'the outcome is not known; repeat the order' }
    : { outcome: RolloutOutcome.Unavailable, message: 'there is no leader; nothing was ordered' };

/**
 * Proposes an order or a step of a roll-out to the leader, local or remote, and retries until the
 * deadline. Retries are safe: the leader detects a repeated order or step.
 *
 * @param context - this member
 * @param rollout - an order if its `step` is 0
 * @param deadlineMs - monotonic time at which the call gives up
 */
const proposeRollout = async (
  context: ReplicationContext,
  rollout: Rollout,
  deadlineMs: number,
): Promise<RolloutResult> => {
  const { replica } = context;
  let mayHaveRun = false;
  let result: RolloutResult | undefined;
  const shouldContinue = (): boolean =>
    !result && !replica.failure && !context.isStopped() && replica.readNowMs() < deadlineMs;
  while (shouldContinue()) {
    const leadership = context.findLeadership();
    const attempted = leadership
      ? await leadership.proposeRollout(rollout, deadlineMs)
      : await forward(context, rollout, deadlineMs);
    result = attempted.result;
    mayHaveRun ||= attempted.mayHaveRun;
    if (shouldContinue()) await replica.changed.wait(RETRY_MS);
  }
  return result ?? createUndecidedResult(mayHaveRun);
};

export default proposeRollout;
