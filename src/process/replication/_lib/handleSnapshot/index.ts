import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { SnapshotResponseSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  SnapshotRequest,
  SnapshotResponse,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerError, PeerErrorCode } from '../../../../connection/replication/PeerError/index.js';
import { createLogger } from '../../../log/index.js';
import type { Replica } from '../Replica/index.js';
import checkHeader from '../checkHeader/index.js';
import { followLeader } from '../handleAppend/index.js';

const log = createLogger('replication');

const respond = (replica: Replica, isAccepted: boolean): Result<SnapshotResponse, PeerError> =>
  ok(
    create(SnapshotResponseSchema, {
      term: replica.term,
      isAccepted,
      diskIdentity: replica.diskIdentity,
    }),
  );

const install = async (
  replica: Replica,
  request: SnapshotRequest,
): Promise<Result<SnapshotResponse, PeerError>> => {
  const payload = replica.takeIncomingSnapshot();
  const { lastIndex, lastTerm } = request;
  const isCovered = lastIndex <= replica.commitIndex || replica.log.termAt(lastIndex) === lastTerm;
  if (isCovered) return respond(replica, true);
  const installed = await replica.installSnapshot({ lastIndex, lastTerm, payload });
  if (installed.isErr()) {
    return err(new PeerError(PeerErrorCode.NotRun, installed.error.message, installed.error));
  }
  log.info(
    { memberId: replica.memberId, lastIndex, snapshotBytes: payload.length },
    'installed a snapshot from the leader',
  );
  return respond(replica, true);
};

/**
 * Receives one chunk of a snapshot; installs the snapshot after the last chunk.
 *
 * @param replica - this member; must be called within its queue
 * @param request - the chunk
 */
const handleSnapshot = async (
  replica: Replica,
  request: SnapshotRequest,
): Promise<Result<SnapshotResponse, PeerError>> => {
  const checked = checkHeader(replica, request.header);
  if (checked.isErr()) return err(checked.error);
  const header = checked.value;
  const isAddressed = header.targetDiskIdentity === replica.diskIdentity;
  if (!isAddressed || header.term < replica.term) return respond(replica, false);
  const followed = await followLeader(replica, header);
  if (followed.isErr()) return err(followed.error);
  const { lastIndex, offsetBytes, totalBytes, chunk } = request;
  if (!replica.addSnapshotChunk(lastIndex, offsetBytes, chunk)) return respond(replica, false);
  const isLast = offsetBytes + chunk.length >= totalBytes;
  return isLast ? install(replica, request) : respond(replica, true);
};

export default handleSnapshot;
