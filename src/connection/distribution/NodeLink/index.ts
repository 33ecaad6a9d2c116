/** Node side of configuration distribution. */
import ByteMeter from '../_lib/ByteMeter.js';
import { computeBackoff } from '../_lib/computeBackoff.js';
import { ControlStream } from '../_lib/ControlStream.js';
import { OwnRecord } from '../_lib/OwnRecord.js';
import sleep from '../_lib/sleep.js';
import * as timing from '../timing.js';
import { createLogger } from '../../../process/log/index.js';

import type { EndpointCursor } from '../_lib/ControlStream.js';
import type { ControlTarget, LinkTiming, NodeLinkOptions, NodeLinkParts } from './types.js';

export type { ControlTarget, LinkTiming, NodeLinkOptions, NodeLinkParts } from './types.js';

const DEFAULT_TIMING: LinkTiming = {
  heartbeatIntervalMs: timing.HEARTBEAT_INTERVAL_MS,
  silenceMs: timing.STREAM_SILENCE_MS,
  windowMs: timing.ENDPOINT_WINDOW_MS,
  backoffBaseMs: timing.BACKOFF_BASE_MS,
  backoffCapMs: timing.BACKOFF_CAP_MS,
  elsewhereDelayMs: timing.ELSEWHERE_DELAY_MS,
  homeProbeIntervalMs: timing.HOME_PROBE_INTERVAL_MS,
  unconfirmedPatienceMs: timing.UNCONFIRMED_PATIENCE_MS,
  callTimeoutMs: timing.CALL_TIMEOUT_MS,
};

const log = createLogger('link');

/** Keeps a node attached to a control VM and installs what it receives. */
export class NodeLink {
  readonly #parts: NodeLinkParts;

  readonly #options: NodeLinkOptions;

  readonly #timing: LinkTiming;

  readonly #now: () => number;

  readonly #random: () => number;

  readonly #meter: ByteMeter;

  readonly #ownRecord: OwnRecord;

  readonly #cursor: EndpointCursor = { epoch: '', revision: 0, listed: new Set() };

  #stopping = new AbortController();

  #running: Promise<void> = Promise.resolve();

  #stream: ControlStream | undefined;

  #unsubscribers: (() => void)[] = [];

  #lostAtMs = 0;

  constructor(parts: NodeLinkParts, options: NodeLinkOptions = {}) {
    this.#parts = parts;
    this.#options = options;
    this.#timing = { ...DEFAULT_TIMING, ...options.timing };
    this.#now = options.now ?? Date.now;
    this.#random = options.random ?? Math.random;
    this.#meter = new ByteMeter(options.metrics, 'node');
    this.#ownRecord = new OwnRecord(parts.recordSource);
  }

  /** Bytes by direction and message kind. */
  get meter(): ByteMeter {
    return this.#meter;
  }

  /** The control VM that the node is attached to. */
  get attachedTo(): ControlTarget | undefined {
    return this.#stream?.isAttached === true ? this.#stream.target : undefined;
  }

  /** Starts to keep a stream; returns at once. */
  start(): void {
    this.#stopping = new AbortController();
    this.#lostAtMs = this.#now();
    this.#parts.directory.merge(this.#ownRecord.current, this.#now());
    this.#unsubscribers = [
      this.#parts.recordSource.onChanged(() => this.#takeRecordChange()),
      this.#parts.holder.onInstalled((_, nowMs) => this.#stream?.reportInForce(nowMs)),
    ];
    this.#running = this.#run();
  }

  /** Ends the stream and resolves when all tasks have ended. */
  async stop(): Promise<void> {
    this.#unsubscribers.forEach((unsubscribe) => unsubscribe());
    this.#stopping.abort();
    this.#stream?.close();
    await this.#running;
  }

  #takeRecordChange(): void {
    const record = this.#ownRecord.renumber();
    this.#parts.directory.merge(record, this.#now());
    this.#stream?.sendRecord();
  }

  async #run(): Promise<void> {
    const { signal } = this.#stopping;
    let attempt = 0;
    while (!signal.aborted) {
      const round = await this.#tryTargets(this.#selectTargets());
      if (signal.aborted) return;
      attempt = round.wasAttached ? 0 : attempt + 1;
      await sleep(this.#chooseDelayMs(attempt, round.retryAfterMs), signal);
    }
  }

  #chooseDelayMs(attempt: number, retryAfterMs: number | undefined): number {
    const options = {
      baseMs: this.#timing.backoffBaseMs,
      capMs: this.#timing.backoffCapMs,
      random: this.#random,
    };
    return (retryAfterMs ?? 0) + computeBackoff(attempt, options);
  }

  // Random order spreads the nodes of a data centre over its control VMs.
  #shuffle(targets: ControlTarget[]): ControlTarget[] {
    return targets
      .map((target) => ({ target, key: this.#random() }))
      .toSorted((left, right) => left.key - right.key)
      .map(({ target }) => target);
  }

  #selectTargets(): ControlTarget[] {
    const { controls, dataCentre } = this.#parts;
    const own = controls.filter((target) => target.dataCentre === dataCentre);
    const elsewhere = controls.filter((target) => target.dataCentre !== dataCentre);
    const isElsewhereDue =
      own.length === 0 || this.#now() - this.#lostAtMs >= this.#timing.elsewhereDelayMs;
    return [...this.#shuffle(own), ...(isElsewhereDue ? this.#shuffle(elsewhere) : [])];
  }

  async #tryTargets(
    targets: ControlTarget[],
  ): Promise<{ wasAttached: boolean; retryAfterMs?: number }> {
    const [target, ...rest] = targets;
    if (target === undefined || this.#stopping.signal.aborted) return { wasAttached: false };
    const stream = new ControlStream(target, {
      parts: this.#parts,
      ownRecord: this.#ownRecord,
      meter: this.#meter,
      timing: this.#timing,
      now: this.#now,
      tls: this.#options.tls?.(),
      cursor: this.#cursor,
    });
    this.#stream = stream;
    const end = await stream.run();
    this.#stream = undefined;
    if (!stream.isAttached) return this.#tryTargets(rest);
    this.#lostAtMs = this.#now();
    return { wasAttached: true, ...this.#logEnd(target, end) };
  }

  #logEnd(
    target: ControlTarget,
    end: Awaited<ReturnType<ControlStream['run']>>,
  ): { retryAfterMs?: number } {
    const { address } = target;
    end.match(
      ({ retryAfterMs }) => log.info({ address, retryAfterMs }, 'stream to control VM ended'),
      (error) => log.warn({ address, code: error.code }, error.message),
    );
    return end.unwrapOr({});
  }
}
