/** Decides which answers are sent on and which are ended while many callers do not read theirs. */

/** Largest send queue of a connection in the kernel. */
export const MAX_QUEUE_BYTES = 4 * 1_048_576;
/** More than the send queue, what the system of a caller takes before it reads, and our own buffers. */
export const PROOF_BYTES = 6 * 1_048_576;
/** Covers most answers of services and the messages of streams; they never wait for room. */
export const FREE_BYTES = 65_536;
/** What is sent before an answer waits: one read from its upstream more. */
const UNCOUNTED_BYTES = 2 * FREE_BYTES;
/** Memory of an answer that waits: a read that is not parsed, and a receive queue of its first size. */
const WAITING_BYTES = 524_288;
/** Longer than pauses of a caller that is busy or has lost a packet. */
export const MIN_PAUSE_MS = 500;
/** Pauses are shorter as long as a caller reads, since each part that is written makes one. */
const STALL_MS = 250;
/** Time after which a reservation ends, unless as much as `SLOW_BYTES_PER_S` was sent meanwhile. */
const RESERVATION_MS = 1_000;
/** More answers may wait while all callers read, since they wait for a short time only. */
const QUICK_FACTOR = 2;
/** Callers are taken to read what arrives no faster, such as streams of events. */
const SLOW_BYTES_PER_S = 131_072;
const MS_PER_S = 1_000;

/** One answer that is streamed to its caller. */
export interface AnswerEntry {
  sentBytes: number;
  /** Bytes of a quick burst that its caller may not have taken. */
  burstBytes: number;
  /** Largest number of bytes that may wait for the caller. */
  readonly maxQueueBytes: number;
  /** Time of a pause before which the answer is not ended. */
  readonly minPauseMs: number;
  /** Since when the kernel takes no more bytes; undefined while it does. */
  pausedSinceMs: number | undefined;
  /** Whether the pause is longer than those of a caller that reads. */
  isStalled: boolean;
  /** Until when the rest of a full queue is reserved; undefined without a reservation. */
  reservedUntilMs: number | undefined;
  /** `sentBytes` when the reservation began or was renewed. */
  reservedAtBytes: number;
  /** Part of the account. */
  countedBytes: number;
}

export interface AnswerOptions {
  lengthBytes?: number | undefined;
  minPauseMs?: number;
}

export interface AnswerReview {
  /** Answers to be broken off; no longer in the account. */
  ended: AnswerEntry[];
  /** Answers that may be sent on. */
  granted: AnswerEntry[];
}

/**
 * Account of the bytes that may wait in the kernel for the callers of streamed answers.
 *
 * A process can't see what a caller has taken. Until more was sent than a queue holds, all of a quick
 * burst may wait in it. An answer is sent beyond `FREE_BYTES` only with room for a full queue, so that
 * it shows by a pause, by `PROOF_BYTES` or by its end whether its caller reads. Where answers wait for
 * room, the one that has been paused longest is ended; where too many wait, the last of them.
 *
 * @example
 * const ledger = new AnswerLedger(50 * 1_048_576);
 * const entry = ledger.open();
 * if (!ledger.add(entry, { sentBytes, isPaused }, nowMs)) pauseUpstream();
 */
export default class AnswerLedger {
  readonly #maxBytes: number;

  readonly #entries = new Set<AnswerEntry>();

  readonly #waiting = new Set<AnswerEntry>();

  #countedBytes = 0;

  #reviewedAtMs: number | undefined;

  /**
   * @param maxBytes - bound on the account
   */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Sum of the account. */
  get countedBytes(): number {
    return this.#countedBytes;
  }

  /** Answers that wait for room. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Answers whose caller does not read. */
  get pausedCount(): number {
    return [...this.#entries].filter(({ isStalled }) => isStalled).length;
  }

  /**
   * Adds an answer of which nothing was sent.
   *
   * @param options - `lengthBytes`: length of the answer, if it is known; `minPauseMs`: time of a pause
   *   before which it is not ended
   */
  open({ lengthBytes = Infinity, minPauseMs = MIN_PAUSE_MS }: AnswerOptions = {}): AnswerEntry {
    const entry: AnswerEntry = {
      ...{ sentBytes: 0, burstBytes: 0, reservedAtBytes: 0, countedBytes: 0 },
      ...{ pausedSinceMs: undefined, isStalled: false, reservedUntilMs: undefined },
      ...{ maxQueueBytes: Math.min(MAX_QUEUE_BYTES, lengthBytes), minPauseMs },
    };
    this.#entries.add(entry);
    return entry;
  }

  /**
   * Records a part of an answer that was handed to the kernel.
   *
   * @param entry - answer
   * @param part - length of the part, and whether the kernel takes no more
   * @param nowMs - current time
   * @returns false if no more may be sent until the answer is granted room
   */
  add(entry: AnswerEntry, part: { sentBytes: number; isPaused: boolean }, nowMs: number): boolean {
    const target = entry;
    target.sentBytes += part.sentBytes;
    target.burstBytes = Math.min(entry.maxQueueBytes, entry.burstBytes + part.sentBytes);
    if (part.isPaused) target.pausedSinceMs ??= nowMs;
    this.#count(entry);
    const isFree = entry.burstBytes <= FREE_BYTES || entry.sentBytes > PROOF_BYTES;
    if (isFree || entry.reservedUntilMs !== undefined) return true;
    if (this.#waiting.size === 0 && this.#tryReserve(entry, nowMs)) return true;
    this.#waiting.add(entry);
    return false;
  }

  /** Records that the caller has taken bytes, so that the kernel takes more. */
  resume(entry: AnswerEntry): void {
    const target = entry;
    target.pausedSinceMs = undefined;
    target.isStalled = false;
    this.#count(entry);
  }

  /** Removes an answer that is complete or broken off. */
  remove(entry: AnswerEntry): void {
    if (!this.#entries.delete(entry)) return;
    this.#waiting.delete(entry);
    this.#countedBytes -= entry.countedBytes;
  }

  /**
   * Grants room in the order in which answers began to wait for it. Where it does not suffice, ends
   * answers that have been paused for their `minPauseMs`, the longest paused first.
   *
   * @param nowMs - current time
   */
  review(nowMs: number): AnswerReview {
    const elapsedMs = nowMs - (this.#reviewedAtMs ?? nowMs);
    this.#reviewedAtMs = nowMs;
    this.#entries.forEach((entry) => this.#age(entry, elapsedMs, nowMs));
    const granted = this.grant(nowMs);
    const ended: AnswerEntry[] = [];
    if (!this.#isShort()) return { ended, granted };
    [...this.#entries]
      .filter(({ pausedSinceMs = Infinity, minPauseMs }) => nowMs - pausedSinceMs >= minPauseMs)
      .sort((one, other) => (one.pausedSinceMs ?? 0) - (other.pausedSinceMs ?? 0))
      .forEach((entry) => {
        if (!this.#isShort()) return;
        this.remove(entry);
        ended.push(entry);
        granted.push(...this.grant(nowMs));
      });
    return { ended: [...ended, ...this.endSurplus()], granted };
  }

  /** Ends the last of the waiting answers if they are too many. */
  endSurplus(): AnswerEntry[] {
    const baseWaiting = Math.floor(this.#maxBytes / WAITING_BYTES);
    if (this.#waiting.size <= baseWaiting) return [];
    const maxWaiting = this.pausedCount > 0 ? baseWaiting : QUICK_FACTOR * baseWaiting;
    if (this.#waiting.size <= maxWaiting) return [];
    const surplus = [...this.#waiting].slice(maxWaiting);
    surplus.forEach((entry) => this.remove(entry));
    return surplus;
  }

  /** Grants room to waiting answers as far as there is any. */
  grant(nowMs: number): AnswerEntry[] {
    const granted: AnswerEntry[] = [];
    [...this.#waiting].every((entry) => {
      if (!this.#tryReserve(entry, nowMs)) return false;
      this.#waiting.delete(entry);
      granted.push(entry);
      return true;
    });
    return granted;
  }

  #isShort(): boolean {
    return this.#waiting.size > 0 || this.#countedBytes > this.#maxBytes;
  }

  /** Ends a reservation that is not used; after it, what arrives slowly counts as taken. */
  #age(entry: AnswerEntry, elapsedMs: number, nowMs: number): void {
    const target = entry;
    if (entry.pausedSinceMs !== undefined) {
      target.isStalled ||= nowMs - entry.pausedSinceMs >= STALL_MS;
      if (entry.isStalled) target.reservedUntilMs = undefined;
    } else if (this.#waiting.has(entry)) {
      return;
    } else if (entry.reservedUntilMs === undefined) {
      const drainedBytes = (SLOW_BYTES_PER_S * elapsedMs) / MS_PER_S;
      target.burstBytes = Math.max(0, entry.burstBytes - drainedBytes);
    } else if (nowMs >= entry.reservedUntilMs) {
      const isUsed = entry.sentBytes - entry.reservedAtBytes >= SLOW_BYTES_PER_S;
      target.reservedUntilMs = isUsed ? nowMs + RESERVATION_MS : undefined;
      target.reservedAtBytes = entry.sentBytes;
    }
    this.#count(entry);
  }

  #tryReserve(entry: AnswerEntry, nowMs: number): boolean {
    const missingBytes = entry.maxQueueBytes - entry.countedBytes;
    if (this.#countedBytes + missingBytes > this.#maxBytes) return false;
    const target = entry;
    target.reservedUntilMs = nowMs + RESERVATION_MS;
    target.reservedAtBytes = entry.sentBytes;
    this.#count(entry);
    return true;
  }

  #count(entry: AnswerEntry): void {
    if (!this.#entries.has(entry)) return;
    const target = entry;
    const bytes = this.#estimate(entry);
    this.#countedBytes += bytes - entry.countedBytes;
    target.countedBytes = bytes;
  }

  #estimate(entry: AnswerEntry): number {
    const { sentBytes, burstBytes, maxQueueBytes } = entry;
    if (entry.isStalled) return Math.min(sentBytes, maxQueueBytes);
    // Its caller has taken some of it, and the kernel takes more.
    if (sentBytes > PROOF_BYTES) return 0;
    if (entry.reservedUntilMs !== undefined) return maxQueueBytes;
    return Math.max(0, burstBytes - UNCOUNTED_BYTES);
  }
}
