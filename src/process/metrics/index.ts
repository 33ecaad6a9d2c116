/** Counters and latency histograms of one process, rendered for `GET /metrics`. */
import { build } from 'hdr-histogram-js';

import type { Histogram } from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 3;
const HIGHEST_TRACKABLE_US = 600_000_000;
const RENDERED_PERCENTILES = [50, 90, 99, 99.9, 100];

type Labels = Record<string, string>;

/** Escapes a label value as required by the Prometheus text format. */
const escapeLabel = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

const formatSeries = (name: string, labels: Labels): string => {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
};

/** Monotonic counter; callers add to `value`. */
export interface Counter {
  value: number;
}

/** Registry of the metrics of one process. */
export class MetricsRegistry {
  readonly #counters = new Map<string, Counter>();

  readonly #gauges = new Map<string, () => number>();

  readonly #histograms = new Map<string, Histogram>();

  /**
   * Returns the counter of a series and creates it on first use.
   *
   * @param name - metric name with its unit, for example `control_sent_bytes`
   * @param labels - label values, for example the message kind
   */
  counter(name: string, labels: Labels = {}): Counter {
    const series = formatSeries(name, labels);
    const existing = this.#counters.get(series);
    if (existing) return existing;
    const counter: Counter = { value: 0 };
    this.#counters.set(series, counter);
    return counter;
  }

  /** Registers a gauge whose value is read whenever the metrics are rendered. */
  gauge(name: string, read: () => number, labels: Labels = {}): void {
    this.#gauges.set(formatSeries(name, labels), read);
  }

  /**
   * Returns the histogram of a metric and creates it on first use.
   *
   * @param name - metric name with the suffix `_us`; values are integer microseconds
   */
  histogram(name: string): Histogram {
    const existing = this.#histograms.get(name);
    if (existing) return existing;
    const histogram = build({
      highestTrackableValue: HIGHEST_TRACKABLE_US,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      autoResize: true,
      lowestDiscernibleValue: 1,
    });
    this.#histograms.set(name, histogram);
    return histogram;
  }

  /** Renders all metrics as text with one `series value` per line. */
  render(): string {
    const counters = [...this.#counters].map(([series, counter]) => `${series} ${counter.value}`);
    const gauges = [...this.#gauges].map(([series, read]) => `${series} ${read()}`);
    const histograms = [...this.#histograms].flatMap(([name, histogram]) => [
      ...RENDERED_PERCENTILES.map(
        (percentile) =>
          `${name}{quantile="${percentile / 100}"} ${histogram.getValueAtPercentile(percentile)}`,
      ),
      `${name}_count ${histogram.totalCount}`,
    ]);
    return `${[...counters, ...gauges, ...histograms].join('\n')}\n`;
  }
}
