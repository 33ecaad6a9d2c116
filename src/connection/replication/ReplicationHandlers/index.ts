import type { Result } from 'neverthrow';

import type {
  AppendRequest,
  AppendResponse,
  DescribeResponse,
  ForwardRequest,
  ForwardResponse,
  JoinRequest,
  JoinResponse,
  ReadIndexRequest,
  ReadIndexResponse,
  SnapshotRequest,
  SnapshotResponse,
  VoteRequest,
  VoteResponse,
} from '../../../_generated/foxtailvane/v1/replication_pb.js';
import type { PeerError } from '../PeerError/index.js';

/** Handlers for requests from control peers; a NotRun error means that the request had no effect. */
export interface ReplicationHandlers {
  describe: () => DescribeResponse;
  vote: (request: VoteRequest) => Promise<Result<VoteResponse, PeerError>>;
  append: (request: AppendRequest) => Promise<Result<AppendResponse, PeerError>>;
  installSnapshot: (request: SnapshotRequest) => Promise<Result<SnapshotResponse, PeerError>>;
  forward: (request: ForwardRequest) => Promise<Result<ForwardResponse, PeerError>>;
  readIndex: (request: ReadIndexRequest) => Promise<Result<ReadIndexResponse, PeerError>>;
  join: (request: JoinRequest) => Promise<Result<JoinResponse, PeerError>>;
}
