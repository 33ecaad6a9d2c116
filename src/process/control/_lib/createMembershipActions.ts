import { RequestExecution } from '../../operatorApi/index.js';
import type { NewMember, MembershipResult } from '../../operatorApi/index.js';
import { ReplicationErrorCode } from '../../replication/ReplicationError/index.js';
import type { ReplicationError } from '../../replication/ReplicationError/index.js';
import type { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';

const describeFailure = (error: ReplicationError): MembershipResult => ({
  ran:
    error.code === ReplicationErrorCode.Unknown
      ? RequestExecution.Unknown
      : RequestExecution.NotExecuted,
  message: error.message,
});

/** Membership changes of the log in the terms of the operator API. */
const createMembershipActions = (log: ReplicatedLog) => ({
  addMember: async ({ memberId, address }: NewMember): Promise<MembershipResult> => {
    const result = await log.addMember({ memberId, address });
    return result.match(
      () => ({ ran: RequestExecution.Executed, message: `${memberId} was added as a non-voter` }),
      describeFailure,
    );
  },
  removeMember: async (memberId: string): Promise<MembershipResult> => {
    const result = await log.removeMember(memberId);
    return result.match(
      () => ({ ran: RequestExecution.Executed, message: `${memberId} was removed` }),
      describeFailure,
    );
  },
});

export default createMembershipActions;
