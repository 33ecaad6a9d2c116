import { RecordingClient, RequestOutcome } from '../../stand-ins/recordingClient/index.js';
import { countOutcomes } from '../../stand-ins/verifyOutcomes/index.js';
import summarizeLatencies from '../summarizeLatencies/index.js';

import type { RequestSpec, SentRequest } from '../../stand-ins/recordingClient/index.js';
import type { LatencySummary } from '../summarizeLatencies/index.js';

const MS_PER_SECOND = 1_000;

export interface LoadOptions {
  ratePerSecond: number;
  durationMs: number;
  /** Base URLs of the entry points, used in turn. */
  entries: string[];
  describeRequest: (index: number) => RequestSpec;
  /** Requests at the start that are sent but not measured. */
  warmUpMs?: number;
  timeoutMs?: number;
  name?: string;
}

export interface LoadResult {
  offeredPerSecond: number;
  /** Exact answers per second. */
  goodputPerSecond: number;
  outcomes: Partial<Record<RequestOutcome, number>>;
  /** Of exact answers, in milliseconds from the scheduled time. */
  latencyMs: LatencySummary;
  sent: SentRequest[];
}

/**
 * Sends an open-loop load and measures it. Latency counts from the scheduled time of each request,
 * so a stall is seen by every request that was due in it.
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
