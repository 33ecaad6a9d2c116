import { create } from '@bufbuild/protobuf';

import { ReadIndexRequestSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { ReplicationContext } from '../proposeChange/index.js';

// Pause before the next attempt if no leader confirmed an index.
const RETRY_MS = 50;

// A leader that does not answer within this time may be lost.
const FORWARD_TIMEOUT_MS = 400;

const requestReadIndex = async (
  { replica, findClient, findLeadership }: ReplicationContext,
  deadlineMs: number,
): Promise<number | undefined> => {
  const leadership = findLeadership();
  if (leadership) return leadership.confirmReadIndex(deadlineMs);
  const leader = replica.membership.members.find(({ memberId }) => memberId === replica.leaderId);
  if (!leader || leader.memberId === replica.memberId) return undefined;
  const remainingMs = Math.max(1, Math.floor(deadlineMs - replica.readNowMs()));
  const timeoutMs = Math.min(FORWARD_TIMEOUT_MS, remainingMs);
  const header = replica.createHeader(leader.diskIdentity);
  const request = create(ReadIndexRequestSchema, { header, timeoutMs });
  const response = await findClient(leader.address).readIndex(request, timeoutMs);
  return response.match(
    ({ isConfirmed, commitIndex }) => (isConfirmed ? commitIndex : undefined),
    () => undefined,
  );
};

/**
 * Waits until this member has applied every version accepted before the call. Leases are not used,
 * because a leader that was suspended would still consider its lease valid; instead the leader
 * confirms after the call with a majority that it still leads.
 *
 * @param context - this member
 * @param deadlineMs - monotonic time at which the wait ends
 * @returns false if no majority confirmed it in time
 */
const awaitReadIndex = async (
  context: ReplicationContext,
  deadlineMs: number,
): Promise<boolean> => {
  const { replica } = context;
  const shouldContinue = (): boolean =>
    !replica.failure && !context.isStopped() && replica.readNowMs() < deadlineMs;
  let index: number | undefined;
  while (index === undefined && shouldContinue()) {
    index = await requestReadIndex(context, deadlineMs);
    if (index === undefined && shouldContinue()) await replica.changed.wait(RETRY_MS);
  }
  if (index === undefined) return false;
  while (replica.commitIndex < index && shouldContinue()) {
    await replica.changed.wait(deadlineMs - replica.readNowMs());
  }
  return replica.commitIndex >= index;
};

export default awaitReadIndex;
