import { RequestExecution } from '../../operatorApi/index.js';
import type { NewMember, MembershipResult } from '../../operatorApi/index.js';
import { ReplicationErrorCode } from '../../replication/ReplicationError/index.js';
import type { ReplicationError } from '../../replication/ReplicationError/index.js';
import type { ReplicatedLog } from '../../replication/ReplicatedLog/index.js';

const createFailureResult = (error: ReplicationError): MembershipResult => ({
  ran:
    error.code === ReplicationErrorCode.Unknown
      ? RequestExecution.Unknown
      : RequestExecution.NotExecuted,
  message: error.message,
});

/** Creates the handlers of the operator API that change the membership of the log. */
const createMembershipActions = (log: ReplicatedLog) => ({
  addMember: async ({ memberId, address }: NewMember): Promise<MembershipResult> => {
    const result = await log.addMember({ memberId, address });
    return result.match(
      () => ({ ran: RequestExecution.Executed, message: `${memberId} was added as a non-voter` }),
      createFailureResult,
    );
  },
  removeMember: async (memberId: string): Promise<MembershipResult> => {
    const result = await log.removeMember(memberId);
    return result.match(
      () => ({ ran: RequestExecution.Executed, message: `${memberId} was removed` }),
      createFailureResult,
    );
  },
});

export default createMembershipActions;
