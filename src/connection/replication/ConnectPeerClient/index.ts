import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { ReplicationService } from '../../../_generated/foxtailvane/v1/replication_pb.js';
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
import { openTransport } from '../../openTransport/index.js';
import type { OpenTransportOptions, OpenedTransport } from '../../openTransport/index.js';
import PeerClient from '../PeerClient/index.js';
import { PeerError, PeerErrorCode } from '../PeerError/index.js';

// System errors of a failed connection attempt, before any byte was sent.
const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND'];

const hasConnectErrorCode = (error: unknown): boolean =>
  error instanceof Error &&
  (('code' in error && CONNECT_ERROR_CODES.includes(String(error.code))) ||
    hasConnectErrorCode(error.cause));

const convertPeerError = (error: unknown, address: string): PeerError => {
  // Handlers of this project return FailedPrecondition only if the request had no effect.
  const isRefused = error instanceof ConnectError && error.code === Code.FailedPrecondition;
  const code =
    isRefused || hasConnectErrorCode(error) ? PeerErrorCode.NotRun : PeerErrorCode.Unknown;
  const reason = error instanceof Error ? error.message : String(error);
  return new PeerError(code, `request to control peer ${address} failed: ${reason}`, error);
};

/** Client of one control peer over connect-es; connects on first use. */
export default class ConnectPeerClient extends PeerClient {
  readonly #address: string;

  readonly #opened: OpenedTransport;

  readonly #client: Client<typeof ReplicationService>;

  /**
   * @param address - `host:port` of the peer
   * @param options - TLS material and ping settings
   */
  constructor(address: string, options: OpenTransportOptions = {}) {
    super();
    this.#address = address;
    this.#opened = openTransport(address, options);
    this.#client = createClient(ReplicationService, this.#opened.transport);
  }

  describe(
    request: DescribeRequest,
    timeoutMs: number,
  ): Promise<Result<DescribeResponse, PeerError>> {
    return this.#convert(this.#client.describe(request, { timeoutMs }));
  }

  vote(request: VoteRequest, timeoutMs: number): Promise<Result<VoteResponse, PeerError>> {
    return this.#convert(this.#client.vote(request, { timeoutMs }));
  }

  append(request: AppendRequest, timeoutMs: number): Promise<Result<AppendResponse, PeerError>> {
    return this.#convert(this.#client.append(request, { timeoutMs }));
  }

  installSnapshot(
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotResponse, PeerError>> {
    return this.#convert(this.#client.installSnapshot(request, { timeoutMs }));
  }

  forward(request: ForwardRequest, timeoutMs: number): Promise<Result<ForwardResponse, PeerError>> {
    return this.#convert(this.#client.forward(request, { timeoutMs }));
  }

  readIndex(
    request: ReadIndexRequest,
    timeoutMs: number,
  ): Promise<Result<ReadIndexResponse, PeerError>> {
    return this.#convert(this.#client.readIndex(request, { timeoutMs }));
  }

  join(request: JoinRequest, timeoutMs: number): Promise<Result<JoinResponse, PeerError>> {
    return this.#convert(this.#client.join(request, { timeoutMs }));
  }

  close(): void {
    this.#opened.close();
  }

  async #convert<T>(call: Promise<T>): Promise<Result<T, PeerError>> {
    try {
      return ok(await call);
    } catch (error) {
      return err(convertPeerError(error, this.#address));
    }
  }
}
