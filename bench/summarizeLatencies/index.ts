import { build } from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 3;
const US_PER_MS = 1_000;
const PERCENTILES = { p50: 50, p90: 90, p99: 99, p999: 99.9 };

/** Latencies in milliseconds. */
export type LatencySummary = Record<keyof typeof PERCENTILES | 'max' | 'mean', number> & {
  count: number;
};

/**
 * Summarizes latencies with an HDR histogram.
 *
 * @param latenciesMs - measured from the scheduled time of each request, so that no correction for
 * coordinated omission is needed
 * @returns percentiles in milliseconds; zeros if there are no latencies
 */
const summarizeLatencies = (latenciesMs: number[]): LatencySummary => {
  const histogram = build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, autoResize: true });
  latenciesMs.forEach((latencyMs) =>
    histogram.recordValue(Math.max(0, Math.round(latencyMs * US_PER_MS))),
  );
  const percentiles = Object.fromEntries(
    Object.entries(PERCENTILES).map(([name, percentile]) => [
      name,
      histogram.getValueAtPercentile(percentile) / US_PER_MS,
    ]),
  ) as Record<keyof typeof PERCENTILES, number>;
  return {
    ...percentiles,
    max: histogram.totalCount === 0 ? 0 : histogram.maxValue / US_PER_MS,
    mean: histogram.totalCount === 0 ? 0 : histogram.mean / US_PER_MS,
    count: histogram.totalCount,
  };
};

export default summarizeLatencies;
