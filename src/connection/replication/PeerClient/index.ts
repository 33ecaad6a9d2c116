import type { Result } from 'neverthrow';

import type {
  AppendRequest,
  AppendResponse,
  DescribeRequest,
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

/** Client of one control peer; each request takes a timeout in milliseconds. */
export default abstract class PeerClient {
  abstract describe(
    request: DescribeRequest,
    timeoutMs: number,
  ): Promise<Result<DescribeResponse, PeerError>>;

  abstract vote(request: VoteRequest, timeoutMs: number): Promise<Result<VoteResponse, PeerError>>;

  abstract append(
    request: AppendRequest,
    timeoutMs: number,
  ): Promise<Result<AppendResponse, PeerError>>;

  abstract installSnapshot(
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotResponse, PeerError>>;

  abstract forward(
    request: ForwardRequest,
    timeoutMs: number,
  ): Promise<Result<ForwardResponse, PeerError>>;

  abstract readIndex(
    request: ReadIndexRequest,
    timeoutMs: number,
  ): Promise<Result<ReadIndexResponse, PeerError>>;

  abstract join(request: JoinRequest, timeoutMs: number): Promise<Result<JoinResponse, PeerError>>;

  /** Closes the connection; requests in flight fail. */
  abstract close(): void;
}
