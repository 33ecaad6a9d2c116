/** Client that sends requests with unique IDs at a fixed rate and records their outcomes. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';

import { Agent, request } from 'undici';

import type { Dispatcher } from 'undici';
import {
  ANSWER_BYTES_HEADER,
  buildAnswerBody,
  DEFAULT_ANSWER_BYTES,
} from '../buildAnswerBody/index.js';
import { RequestOutcome } from './_lib/types.js';

import type { RequestSpec, SentRequest } from './_lib/types.js';

export { RequestOutcome } from './_lib/types.js';
export type { RequestSpec, SentRequest } from './_lib/types.js';

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_CONNECTIONS = 256;

export interface RecordingClientOptions {
  /** Prefix of the request IDs; unique among the clients of one test. */
  name?: string;
  timeoutMs?: number;
  /** Connection limit per entry node. */
  connections?: number;
}

export interface OpenLoopOptions {
  ratePerSecond: number;
  durationMs: number;
  /** Base URLs of entry nodes, used in turn. */
  entries: string[];
  /** Returns the request with the given index. */
  describeRequest: (index: number) => RequestSpec;
}

const OUTCOMES_BY_HEADER: Record<string, RequestOutcome> = {
  'not-run': RequestOutcome.NotRun,
  unknown: RequestOutcome.Unknown,
};

const classifyAnswer = (
  response: Dispatcher.ResponseData,
  body: Buffer,
  expected: Buffer,
): RequestOutcome => {
  if (response.statusCode === 200) {
    return body.equals(expected) ? RequestOutcome.Answered : RequestOutcome.WrongBody;
  }
  return (
    OUTCOMES_BY_HEADER[String(response.headers['foxtailvane-outcome'] ?? '')] ??
    RequestOutcome.OtherStatus
  );
};

/**
 * Sends requests and keeps one record for each.
 *
 * @example
 * const client = new RecordingClient();
 * await client.runOpenLoop({ ratePerSecond: 500, durationMs: 5_000, entries, describeRequest });
 */
export class RecordingClient {
  readonly sent: SentRequest[] = [];

  readonly #agent: Agent;

  readonly #name: string;

  readonly #timeoutMs: number;

  #count = 0;

  constructor(options: RecordingClientOptions = {}) {
    this.#name = options.name ?? 'r';
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    this.#agent = new Agent({
      connections: options.connections ?? DEFAULT_CONNECTIONS,
      pipelining: 1,
      headersTimeout: this.#timeoutMs,
      bodyTimeout: this.#timeoutMs,
    });
  }

  /**
   * Sends a request without retries and records its outcome. Never throws.
   *
   * @param entry - base URL of the entry node
   * @param spec - the request
   * @param scheduledAt - scheduled time in milliseconds of `performance.now()`; now when unset
   */
  async send(entry: string, spec: RequestSpec, scheduledAt?: number): Promise<SentRequest> {
    this.#count += 1;
    const requestId = `${this.#name}-${this.#count}`;
    const dueAt = scheduledAt ?? performance.now();
    const scheduledAtMs = performance.timeOrigin + dueAt;
    const result = await this.#exchange(entry, spec, requestId);
    const latencyMs = performance.now() - dueAt;
    const { isIdempotent, path } = spec;
    const sent = { requestId, path, isIdempotent, scheduledAtMs, latencyMs, ...result };
    this.sent.push(sent);
    return sent;
  }

  /** Sends requests on schedule, whether or not earlier ones have ended; resolves after all. */
  async runOpenLoop(options: OpenLoopOptions): Promise<SentRequest[]> {
    const { ratePerSecond, durationMs, entries, describeRequest } = options;
    const total = Math.floor((ratePerSecond * durationMs) / 1_000);
    const startedAt = performance.now();
    const pending: Promise<SentRequest>[] = [];
    while (pending.length < total) {
      const dueCount = Math.floor(((performance.now() - startedAt) * ratePerSecond) / 1_000) + 1;
      while (pending.length < Math.min(total, dueCount)) {
        const index = pending.length;
        const dueAt = startedAt + (index * 1_000) / ratePerSecond;
        const entry = entries[index % entries.length]!;
        pending.push(this.send(entry, describeRequest(index), dueAt));
      }
      await sleep(1);
    }
    return Promise.all(pending);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #exchange(
    entry: string,
    spec: RequestSpec,
    requestId: string,
  ): Promise<Pick<SentRequest, 'outcome' | 'status' | 'serverId' | 'error'>> {
    const sizeBytes = Number(spec.headers?.[ANSWER_BYTES_HEADER] ?? DEFAULT_ANSWER_BYTES);
    const host = spec.host === undefined ? {} : { host: spec.host };
    try {
      const response = await request(`${entry}${spec.path}`, {
        dispatcher: this.#agent,
        method: spec.method,
        headers: { ...host, ...spec.headers, 'x-request-id': requestId },
        body: spec.body ?? null,
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      const expected = buildAnswerBody(requestId, Buffer.from(spec.body ?? ''), sizeBytes);
      const serverId = response.headers['x-server-id'];
      return {
        outcome: classifyAnswer(response, body, expected),
        status: response.statusCode,
        ...(serverId === undefined ? {} : { serverId: String(serverId) }),
      };
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      return {
        outcome: RequestOutcome.ConnectionError,
        status: 0,
        error: `${code ?? ''} ${message}`.trim(),
      };
    }
  }
}
