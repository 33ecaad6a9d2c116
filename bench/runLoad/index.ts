import { RecordingClient, RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import { countOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import summarizeLatencies from '../summarizeLatencies/index.js';

import type { RequestSpec, SentRequest } from '../../stand-ins/recordingClient/index.js';
import type { LatencySummary } from '../summarizeLatencies/index.js';

const MS_PER_SECOND = 1_000;

export interface LoadOptions {
  ratePerSecond: number;
  durationMs: number;
  /** Base URLs of the entry nodes, used in round-robin order. */
  entries: string[];
  describeRequest: (index: number) => RequestSpec;
  /** Duration of the load before the measurement. */
  warmUpMs?: number;
  timeoutMs?: number;
  name?: string;
}

export interface LoadResult {
  offeredPerSecond: number;
  /** Correct and complete answers per second. */
  goodputPerSecond: number;
  outcomes: Partial<Record<RequestOutcome, number>>;
  /** Latency of correct and complete answers, in milliseconds from the scheduled time. */
  latencyMs: LatencySummary;
  sent: SentRequest[];
}

/**
 * Sends an open-loop load and measures it. Latency is measured from the scheduled time of each
 * request, so that a stall counts for every request that was scheduled during it.
 */
const runLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const { ratePerSecond, durationMs, warmUpMs = 0, timeoutMs, name } = options;
  const client = new RecordingClient({
    ...(timeoutMs === undefined ? {} : { timeoutMs }),
    ...(name === undefined ? {} : { name }),
  });
  const all = await client.runOpenLoop({ ...options, durationMs: durationMs + warmUpMs });
  await client.close();
  const sent = all.slice(Math.floor((ratePerSecond * warmUpMs) / MS_PER_SECOND));
  const answered = sent.filter((one) => one.outcome === RequestOutcome.Answered);
  return {
    offeredPerSecond: ratePerSecond,
    goodputPerSecond: (answered.length * MS_PER_SECOND) / durationMs,
    outcomes: countOutcomes(sent),
    latencyMs: summarizeLatencies(answered.map((one) => one.latencyMs)),
    sent,
  };
};

export default runLoad;
