import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import type { Result } from 'neverthrow';

import { ReplicationService } from '../../../_generated/foxtailvane/v1/replication_pb.js';
import { PeerErrorCode } from '../PeerError/index.js';
import type { PeerError } from '../PeerError/index.js';
import type { ReplicationHandlers } from '../ReplicationHandlers/index.js';

const unwrap = async <T>(pending: Promise<Result<T, PeerError>>): Promise<T> => {
  const result = await pending;
  if (result.isOk()) return result.value;
  const { code, message } = result.error;
  const connectCode = code === PeerErrorCode.NotRun ? Code.FailedPrecondition : Code.Unknown;
  throw new ConnectError(message, connectCode);
};

/**
 * Registers the replication service of a control VM.
 *
 * @param router - router of the `listen` listener
 * @param handlers - handlers for requests from peers
 */
const registerReplication = (router: ConnectRouter, handlers: ReplicationHandlers): void => {
  router.service(ReplicationService, {
    describe: () => handlers.describe(),
    vote: (request) => unwrap(handlers.vote(request)),
    append: (request) => unwrap(handlers.append(request)),
    installSnapshot: (request) => unwrap(handlers.installSnapshot(request)),
    forward: (request) => unwrap(handlers.forward(request)),
    readIndex: (request) => unwrap(handlers.readIndex(request)),
    join: (request) => unwrap(handlers.join(request)),
  });
};

export default registerReplication;
