import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { PeerHeader } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerError, PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import type { Replica } from '../Replica/index.js';

const reject = (message: string): Result<never, PeerError> =>
  err(new PeerError(PeerErrorCode.NotRun, message));

/**
 * Checks that a request comes from a member of the same cluster and that the storage of this member
 * works.
 *
 * @returns the header; NotRun otherwise
 */
const checkHeader = (
  replica: Replica,
  header: PeerHeader | undefined,
): Result<PeerHeader, PeerError> => {
  if (!header) return reject('the request has no header');
  if (replica.failure) return reject(`the storage of ${replica.memberId} has failed`);
  if (replica.clusterId !== '' && replica.clusterId !== header.clusterId) {
    return reject(`${replica.memberId} belongs to another cluster`);
  }
  return ok(header);
};

export default checkHeader;
