import type { Heartbeat } from '../../../_generated/foxtailvane/v1/distribution_pb.js';

/**
 * A moment on two clocks. The steady clock may stand still while the VM is suspended; the time of day
 * may be set. The greater difference is never less than the time that has passed, unless a VM is
 * suspended and its time of day is set back by as much.
 */
export interface Instant {
  steadyMs: number;
  /** Time of day in milliseconds since the epoch. */
  wallMs: number;
}

/** Renewals without an answer that are remembered; a stream without answers ends far earlier. */
const MAX_UNANSWERED = 64;

const computeElapsedMs = (from: Instant, to: Instant): number =>
  Math.max(to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);

/**
 * Proof that this node holds the newest version, and its age.
 *
 * Needed for what must end in time on nodes that are cut off or suspended, such as the use of a
 * withdrawn key. The age counts from the sending of the renewal that the control VM has answered, so
 * a heartbeat that waited in a buffer while this node was suspended does not renew the proof.
 */
export class ConfirmationProof {
  #lastSequence = 0;

  /** Sending times of the renewals on the present stream, by number. */
  readonly #unanswered = new Map<number, Instant>();

  #provenAt: Instant | undefined;

  /** Forgets the renewals of the former stream, since they will not be answered on the next one. */
  startStream(): void {
    this.#unanswered.clear();
  }

  /**
   * Records that a renewal is about to be sent.
   *
   * @param now - read before the renewal is sent
   * @returns its number, unique over all streams
   */
  recordSent(now: Instant): number {
    this.#lastSequence += 1;
    this.#unanswered.set(this.#lastSequence, now);
    const [oldest] = this.#unanswered.keys();
    if (oldest !== undefined && this.#unanswered.size > MAX_UNANSWERED)
      this.#unanswered.delete(oldest);
    return this.#lastSequence;
  }

  /**
   * Records a heartbeat.
   *
   * @param heartbeat - proves nothing if it is unconfirmed, or names no renewal of this stream
   * @param heldVersion - version in force on this node; an older one than that of the heartbeat is
   *   not proven
   */
  recordAnswer(
    heartbeat: Pick<Heartbeat, 'version' | 'isConfirmed' | 'answeredRenewal'>,
    heldVersion: number,
  ): void {
    const { version, isConfirmed, answeredRenewal } = heartbeat;
    const sentAt = this.#unanswered.get(answeredRenewal);
    if (!isConfirmed || !sentAt || heldVersion < version) return;
    this.#provenAt = sentAt;
    [...this.#unanswered.keys()]
      .filter((sequence) => sequence < answeredRenewal)
      .forEach((sequence) => this.#unanswered.delete(sequence));
  }

  /** Returns the age of the proof in milliseconds; Infinity without one. */
  computeAgeMs(now: Instant): number {
    return this.#provenAt ? computeElapsedMs(this.#provenAt, now) : Infinity;
  }
}
