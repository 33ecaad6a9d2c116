/** Configuration distribution on the node. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { Result } from 'neverthrow';
import { createLogger } from '../../../process/log/index.js';
import ByteMeter from '../_lib/ByteMeter.js';
import { computeBackoff } from '../_lib/computeBackoff.js';
import computePatience from '../_lib/computePatience.js';
import ConfirmationProof from '../_lib/ConfirmationProof.js';
import { ControlStream } from '../_lib/ControlStream.js';
import { OwnRecord } from '../_lib/OwnRecord.js';
import { Readiness } from '../_lib/Readiness.js';
import sleep from '../_lib/sleep.js';
import VersionPoll from '../_lib/VersionPoll.js';
import superviseStream from '../_lib/superviseStream.js';
import { TargetSelector } from '../_lib/TargetSelector.js';
import { PeerGossip } from '../PeerGossip/index.js';
import * as timing from '../timing.js';

import type { TlsMaterial } from '../../openTransport/index.js';
import type { Confirmation, EndpointCursor, StreamEnd } from '../_lib/ControlStream.js';
import type { ReportNumbers } from '../_lib/TrafficReporter.js';
import type { LinkError } from '../LinkError/index.js';
import type { ReadinessError, ReadyBasis } from '../ReadinessError/index.js';
import type { ControlTarget, LinkTiming, NodeLinkOptions, NodeLinkParts } from './types.js';

export type { ControlTarget, LinkTiming, NodeLinkOptions, NodeLinkParts } from './types.js';

const DEFAULT_TIMING: LinkTiming = {
  heartbeatIntervalMs: timing.HEARTBEAT_INTERVAL_MS,
  attachTimeoutMs: timing.ATTACH_TIMEOUT_MS,
  silenceMs: timing.STREAM_SILENCE_MS,
  windowMs: timing.ENDPOINT_WINDOW_MS,
  backoffBaseMs: timing.BACKOFF_BASE_MS,
  backoffCapMs: timing.BACKOFF_CAP_MS,
  remoteFallbackDelayMs: timing.REMOTE_FALLBACK_DELAY_MS,
  localProbeIntervalMs: timing.LOCAL_PROBE_INTERVAL_MS,
  unconfirmedTimeoutMs: timing.UNCONFIRMED_TIMEOUT_MS,
  callTimeoutMs: timing.CALL_TIMEOUT_MS,
  gossipIntervalMs: timing.GOSSIP_INTERVAL_MS,
  controlWaitMs: timing.CONTROL_WAIT_MS,
  reportIntervalMs: timing.TRAFFIC_REPORT_INTERVAL_MS,
};

const log = createLogger('link');

interface AttachOutcome {
  wasAttached: boolean;
  retryAfterMs?: number;
}

/** Keeps a node attached to a control VM, gossips with peers without one, and installs updates. */
export class NodeLink {
  readonly #parts: NodeLinkParts;

  readonly #timing: LinkTiming;

  readonly #now: () => number;

  readonly #random: () => number;

  readonly #readWallMs: () => number;

  readonly #proof: ConfirmationProof | undefined;

  readonly #tls: () => TlsMaterial | undefined;

  readonly #meter: ByteMeter;

  readonly #ownRecord: OwnRecord;

  readonly #gossip: PeerGossip;

  readonly #versionPoll: VersionPoll;

  readonly #selector: TargetSelector;

  readonly #readiness = new Readiness();

  readonly #cursor: EndpointCursor = { epoch: '', revision: 0, listedNodeIds: new Set() };

  readonly #reportNumbers: ReportNumbers = { sequence: 0 };

  readonly #stopping = new AbortController();

  #tasks: Promise<void>[] = [];

  #stream: ControlStream | undefined;

  /** Last confirmation of any earlier stream, used until the current stream has one. */
  #lastConfirmation: Confirmation | undefined;

  #unsubscribers: (() => void)[] = [];

  #startedAtMs = 0;

  #configuredControls: ControlTarget[];

  /** Control VMs listed in the last heartbeat that listed any; empty before that. */
  #listedControls: ControlTarget[] = [];

  constructor(parts: NodeLinkParts, options: NodeLinkOptions = {}) {
    this.#parts = parts;
    this.#configuredControls = parts.controls;
    this.#timing = { ...DEFAULT_TIMING, ...options.timing };
    this.#now = options.now ?? Date.now;
    this.#random = options.random ?? Math.random;
    this.#readWallMs = options.readWallMs ?? Date.now;
    this.#proof = options.needsProof ? new ConfirmationProof() : undefined;
    this.#tls = options.tls ?? (() => undefined);
    this.#meter = new ByteMeter(options.metrics, 'node');
    this.#ownRecord = new OwnRecord(parts.recordSource);
    this.#gossip = this.#createGossip(options.gossipFanout ?? timing.GOSSIP_FANOUT);
    this.#versionPoll = new VersionPoll({
      controls: parts.controls,
      gossip: this.#gossip,
      callTimeoutMs: this.#timing.callTimeoutMs,
      tls: this.#tls,
    });
    this.#selector = new TargetSelector(
      {
        controls: parts.controls,
        dataCentre: parts.dataCentre,
        remoteFallbackDelayMs: this.#timing.remoteFallbackDelayMs,
        random: this.#random,
      },
      this.#now(),
    );
  }

  /** Byte counts by direction and message kind. */
  get meter(): ByteMeter {
    return this.#meter;
  }

  /** The control VM that the node is attached to; undefined without one. */
  get attachedTo(): ControlTarget | undefined {
    return this.#stream?.isAttached === true ? this.#stream.target : undefined;
  }

  /** Adds the service for peers to the router of the listener `peer_listen`. */
  registerRoutes(router: ConnectRouter): void {
    this.#gossip.registerRoutes(router);
  }

  /**
   * Replaces the control VMs of the settings. Those listed by a control VM stay in use in addition.
   */
  setControls(controls: ControlTarget[]): void {
    this.#configuredControls = controls;
    this.#refreshControls();
  }

  /**
   * Starts the tasks that keep a stream and gossip without one; does not wait for them. A link can
   * be started only once.
   */
  start(): void {
    this.#startedAtMs = this.#now();
    this.#selector.markLost(this.#startedAtMs);
    this.#parts.directory.merge(this.#ownRecord.renumber(), this.#startedAtMs);
    this.#unsubscribers = [
      this.#parts.recordSource.onChanged(() => this.#handleRecordChange()),
      this.#parts.holder.onInstalled((_, nowMs) => this.#stream?.reportInForce(nowMs)),
    ];
    const { signal } = this.#stopping;
    this.#tasks = [
      this.#maintainStream(signal),
      this.#gossip.run(signal),
      this.#pollUntilReady(signal),
    ];
  }

  /** Ends the stream; resolves when all tasks have ended. */
  async stop(): Promise<void> {
    this.#unsubscribers.forEach((unsubscribe) => unsubscribe());
    this.#stopping.abort();
    this.#stream?.close();
    await Promise.all(this.#tasks);
  }

  /**
   * Checks whether this node may serve requests. It must hold the newest version of a confirmed
   * control VM or of a majority of control VMs or, if these stay unreachable, the version that all
   * reachable peers hold. A ready node stays ready.
   *
   * @param nowMs - current time in milliseconds since the epoch
   * @returns the evidence that the version is the newest, or why the node must wait
   */
  isReadyToServe(nowMs: number): Result<ReadyBasis, ReadinessError> {
    return this.#readiness.evaluate(() => ({
      heldVersion: this.#parts.holder.current()?.version ?? 0,
      confirmedVersion: this.#stream?.confirmedVersion,
      majorityVersion: this.#versionPoll.majorityVersion,
      peerResult: this.#versionPoll.peerResult,
      isControlWaitOver: this.#isControlWaitOver(nowMs),
    }));
  }

  /**
   * Returns whether a control VM has recently confirmed that this node holds the newest version. A
   * disconnected node continues to serve, but cannot distinguish an unknown path from one that was
   * added since.
   *
   * @param nowMs - current time in milliseconds since the epoch
   */
  isCurrent(nowMs: number): boolean {
    const confirmation = this.#stream?.confirmation ?? this.#lastConfirmation;
    if (!confirmation) return false;
    const heldVersion = this.#parts.holder.current()?.version ?? 0;
    const isFresh = nowMs - confirmation.atMs <= this.#timing.silenceMs;
    return isFresh && heldVersion >= confirmation.version;
  }

  /**
   * Returns the age of the proof that this node holds the newest version, in milliseconds, by a clock
   * that counts pauses of the VM. Peers prove nothing.
   *
   * @param nowMs - current time on the clock of the link
   * @returns Infinity without a proof, also if the link was created without `needsProof`
   */
  getConfirmationAgeMs(nowMs: number): number {
    const now = { steadyMs: nowMs, wallMs: this.#readWallMs() };
    return this.#proof?.computeAgeMs(now) ?? Infinity;
  }

  #isControlWaitOver(nowMs: number): boolean {
    return nowMs - this.#startedAtMs >= this.#timing.controlWaitMs;
  }

  #createGossip(fanout: number): PeerGossip {
    const { nodeId, dataCentre, holder, directory, peerSeeds, rolloutHolder } = this.#parts;
    const isAttached = (): boolean => this.attachedTo !== undefined;
    const onSuperseded = (incarnation: bigint): void => this.#supersede(incarnation);
    const seeds = peerSeeds ?? [];
    const parts = { nodeId, dataCentre, holder, directory, seeds, isAttached, onSuperseded };
    return new PeerGossip(
      { ...parts, meter: this.#meter, ...(rolloutHolder && { rolloutHolder }) },
      {
        now: this.#now,
        random: this.#random,
        tls: this.#tls,
        intervalMs: this.#timing.gossipIntervalMs,
        fanout,
        callTimeoutMs: this.#timing.callTimeoutMs,
      },
    );
  }

  #setListedControls(controls: ControlTarget[]): void {
    this.#listedControls = controls;
    this.#refreshControls();
  }

  #refreshControls(): void {
    const listedAddresses = new Set(this.#listedControls.map(({ address }) => address));
    const others = this.#configuredControls.filter(({ address }) => !listedAddresses.has(address));
    this.#selector.setControls([...this.#listedControls, ...others]);
    // The majority refers to the listed members; the addresses in the settings may be out of date.
    this.#versionPoll.setControls(
      listedAddresses.size > 0 ? this.#listedControls : this.#configuredControls,
    );
  }

  #supersede(recordedIncarnation: bigint): void {
    const record = this.#ownRecord.supersede(recordedIncarnation);
    this.#parts.directory.merge(record, this.#now());
    this.#stream?.sendRecord();
  }

  #handleRecordChange(): void {
    const record = this.#ownRecord.renumber();
    this.#parts.directory.merge(record, this.#now());
    this.#stream?.sendRecord();
  }

  async #maintainStream(signal: AbortSignal): Promise<void> {
    let attempt = 0;
    while (!signal.aborted) {
      const patience = computePatience(attempt);
      const outcome = await this.#tryTargets(this.#selector.select(this.#now()), patience);
      attempt = outcome.wasAttached ? 0 : attempt + 1;
      await sleep(this.#chooseDelayMs(attempt, outcome.retryAfterMs), signal);
    }
  }

  // A node stays ready, so a ready node needs no further polls.
  async #pollUntilReady(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isReadyToServe(this.#now()).isErr()) {
      await sleep(this.#timing.gossipIntervalMs * (0.5 + this.#random()), signal);
      if (this.#stream?.confirmedVersion === undefined) await this.#pollSources(signal);
    }
  }

  async #pollSources(signal: AbortSignal): Promise<void> {
    await this.#versionPoll.pollControls(signal);
    const { majorityVersion, newestTarget } = this.#versionPoll;
    const heldVersion = this.#parts.holder.current()?.version ?? 0;
    if (majorityVersion === undefined) {
      // A node without a version gets one by gossip first. Polling all peers before that would only
      // add load, most of all when all nodes of the data centre start at the same time.
      if (heldVersion > 0 && this.#isControlWaitOver(this.#now()))
        await this.#versionPoll.pollPeers();
    } else if (newestTarget !== undefined && majorityVersion > heldVersion) {
      this.#moveTo(newestTarget);
    }
  }

  #moveTo(target: ControlTarget): void {
    if (this.#stream?.target.address === target.address) return;
    this.#selector.prefer(target);
    this.#stream?.close();
  }

  #chooseDelayMs(attempt: number, retryAfterMs: number | undefined): number {
    const { backoffBaseMs, backoffCapMs } = this.#timing;
    const options = { baseMs: backoffBaseMs, capMs: backoffCapMs, random: this.#random };
    return (retryAfterMs ?? 0) + computeBackoff(attempt, options);
  }

  async #tryTargets(targets: ControlTarget[], patience: number): Promise<AttachOutcome> {
    const [target, ...rest] = targets;
    if (target === undefined || this.#stopping.signal.aborted) return { wasAttached: false };
    const stream = this.#openStream(target, patience);
    const end = await this.#runStream(stream);
    if (!stream.isAttached) return this.#tryTargets(rest, patience);
    this.#selector.markLost(this.#now());
    this.#logEnd(target, end);
    return { wasAttached: true, ...end.unwrapOr({}) };
  }

  #openStream(target: ControlTarget, patience: number): ControlStream {
    return new ControlStream(target, {
      parts: this.#parts,
      ownRecord: this.#ownRecord,
      meter: this.#meter,
      timing: this.#timing,
      patience,
      now: this.#now,
      proof: this.#proof,
      readWallMs: this.#readWallMs,
      tls: this.#tls(),
      cursor: this.#cursor,
      reportNumbers: this.#reportNumbers,
      setListedControls: (controls) => this.#setListedControls(controls),
    });
  }

  async #runStream(stream: ControlStream): Promise<Result<StreamEnd, LinkError>> {
    this.#stream = stream;
    const ended = new AbortController();
    const supervision = superviseStream({
      stream,
      selector: this.#selector,
      timing: this.#timing,
      random: this.#random,
      now: this.#now,
      tls: this.#tls,
      signal: ended.signal,
    });
    const end = await stream.run();
    this.#stream = undefined;
    this.#parts.quotaHolder?.release();
    this.#lastConfirmation = stream.confirmation ?? this.#lastConfirmation;
    ended.abort();
    await supervision;
    return end;
  }

  #logEnd({ address }: ControlTarget, end: Result<StreamEnd, LinkError>): void {
    end.match(
      ({ retryAfterMs }) => log.info({ address, retryAfterMs }, 'stream to control VM ended'),
      (error) => log.warn({ address, code: error.code }, error.message),
    );
  }
}
