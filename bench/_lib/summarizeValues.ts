export interface ValueSummary {
  min: number;
  median: number;
  max: number;
}

/** Summarizes a few values, for example one per node. */
const summarizeValues = (values: number[]): ValueSummary => {
  const sorted = values.toSorted((left, right) => left - right);
  return {
    min: sorted[0] ?? 0,
    median: sorted[Math.floor(sorted.length / 2)] ?? 0,
    max: sorted.at(-1) ?? 0,
  };
};

export default summarizeValues;
