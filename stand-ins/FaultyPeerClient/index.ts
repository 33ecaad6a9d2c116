import { err } from 'neverthrow';
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
} from '../../src/_generated/foxtailvane/v1/replication_pb.js';
import PeerClient from '../../src/connection/replication/PeerClient/index.js';
import { PeerError, PeerErrorCode } from '../../src/connection/replication/PeerError/index.js';

/** Faults that affect the requests of one kind on one link. */
export enum LinkFault {
  None = 'none',
  /** The request does not arrive; its sender waits for the timeout. */
  DropRequest = 'drop-request',
  /** The request is executed; its response does not arrive. */
  DropResponse = 'drop-response',
  /** The request is executed; its response arrives after `DELAY_MS`, or too late for the timeout. */
  DelayResponse = 'delay-response',
  /** The same after `LONG_DELAY_MS`. */
  DelayResponseLong = 'delay-response-long',
}

/** Longer than half of the shortest election timeout. */
const DELAY_MS = 400;
/** Longer than the timeout of a request. */
const LONG_DELAY_MS = 800;

export type FindFault = (kind: string) => LinkFault;

const DELAYS_MS: Partial<Record<LinkFault, number>> = {
  [LinkFault.DelayResponse]: DELAY_MS,
  [LinkFault.DelayResponseLong]: LONG_DELAY_MS,
};

const waitUntilTimeout = (timeoutMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, timeoutMs);
  });

/** A connection to a control peer whose requests or responses a test can drop. */
export class FaultyPeerClient extends PeerClient {
  readonly #client: PeerClient;

  readonly #findFault: FindFault;

  /**
   * @param client - client that sends the requests that are not dropped
   * @param findFault - called once for each request and again for its response
   */
  constructor(client: PeerClient, findFault: FindFault) {
    super();
    this.#client = client;
    this.#findFault = findFault;
  }

  describe(
    request: DescribeRequest,
    timeoutMs: number,
  ): Promise<Result<DescribeResponse, PeerError>> {
    return this.#send('describe', timeoutMs, () => this.#client.describe(request, timeoutMs));
  }

  vote(request: VoteRequest, timeoutMs: number): Promise<Result<VoteResponse, PeerError>> {
    return this.#send('vote', timeoutMs, () => this.#client.vote(request, timeoutMs));
  }

  append(request: AppendRequest, timeoutMs: number): Promise<Result<AppendResponse, PeerError>> {
    return this.#send('append', timeoutMs, () => this.#client.append(request, timeoutMs));
  }

  installSnapshot(
    request: SnapshotRequest,
    timeoutMs: number,
  ): Promise<Result<SnapshotResponse, PeerError>> {
    return this.#send('snapshot', timeoutMs, () =>
      this.#client.installSnapshot(request, timeoutMs),
    );
  }

  forward(request: ForwardRequest, timeoutMs: number): Promise<Result<ForwardResponse, PeerError>> {
    return this.#send('forward', timeoutMs, () => this.#client.forward(request, timeoutMs));
  }

  readIndex(
    request: ReadIndexRequest,
    timeoutMs: number,
  ): Promise<Result<ReadIndexResponse, PeerError>> {
    return this.#send('readIndex', timeoutMs, () => this.#client.readIndex(request, timeoutMs));
  }

  join(request: JoinRequest, timeoutMs: number): Promise<Result<JoinResponse, PeerError>> {
    return this.#send('join', timeoutMs, () => this.#client.join(request, timeoutMs));
  }

  close(): void {
    this.#client.close();
  }

  async #send<T>(
    kind: string,
    timeoutMs: number,
    send: () => Promise<Result<T, PeerError>>,
  ): Promise<Result<T, PeerError>> {
    const lost = new PeerError(PeerErrorCode.Unknown, `${kind} was dropped by a link fault`);
    if (this.#findFault(kind) === LinkFault.DropRequest) {
      await waitUntilTimeout(timeoutMs);
      return err(lost);
    }
    const response = await send();
    const fault = this.#findFault(kind);
    const delayMs = fault === LinkFault.None ? 0 : (DELAYS_MS[fault] ?? Infinity);
    await waitUntilTimeout(Math.min(delayMs, timeoutMs));
    return delayMs < timeoutMs ? response : err(lost);
  }
}
