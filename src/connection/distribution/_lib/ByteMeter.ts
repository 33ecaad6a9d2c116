import { toBinary } from '@bufbuild/protobuf';

import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { MetricsRegistry } from '../../../process/metrics/index.js';
import type { Counter } from '../../../process/metrics/index.js';

/** Prefix of each message on a connect-es stream: one flag byte and a 4-byte length. */
const ENVELOPE_BYTES = 5;

interface OneOf {
  case?: string | undefined;
  value?: unknown;
}

/** Counts message bytes by direction and kind, without HTTP/2 framing. */
export default class ByteMeter {
  readonly #metrics: MetricsRegistry;

  /** Counters by direction and kind, as the registry formats the labels in each call. */
  readonly #counters = new Map<string, Counter>();

  /**
   * @param metrics - registry of the process
   * @param channel - name of the channel, a label of every series
   */
  constructor(
    metrics: MetricsRegistry | undefined,
    readonly channel: string,
  ) {
    this.#metrics = metrics ?? new MetricsRegistry();
  }

  /** Counts a sent message; its kind is the case of a oneof. */
  countSent<Desc extends DescMessage>(
    schema: Desc,
    message: MessageShape<Desc>,
    kind: OneOf,
  ): void {
    this.#add('sent', kind.case ?? 'none', this.#measure(schema, message, kind.value));
  }

  /** Counts a received message; its kind is the case of a oneof. */
  countReceived<Desc extends DescMessage>(
    schema: Desc,
    message: MessageShape<Desc>,
    kind: OneOf,
  ): void {
    this.#add('received', kind.case ?? 'none', this.#measure(schema, message, kind.value));
  }

  /** Returns the bytes counted so far for one kind. */
  read(direction: 'sent' | 'received', kind: string): number {
    return this.#getCounter(direction, kind).value;
  }

  #measure<Desc extends DescMessage>(
    schema: Desc,
    message: MessageShape<Desc>,
    payload: unknown,
  ): number {
    // An encoded payload is not encoded again to be measured; its tag and length take 4 bytes.
    if (payload instanceof Uint8Array) return payload.length + 4 + ENVELOPE_BYTES;
    return toBinary(schema, message).length + ENVELOPE_BYTES;
  }

  #add(direction: string, kind: string, byteCount: number): void {
    this.#getCounter(direction, kind).value += byteCount;
  }

  #getCounter(direction: string, kind: string): Counter {
    const key = `${direction} ${kind}`;
    const known = this.#counters.get(key);
    if (known) return known;
    const labels = { channel: this.channel, kind };
    const counter = this.#metrics.counter(`distribution_${direction}_bytes`, labels);
    this.#counters.set(key, counter);
    return counter;
  }
}
