import { create } from '@bufbuild/protobuf';
import * as v from 'valibot';

import { RolloutSchema, RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { createLogger } from '../../log/index.js';
import type { ControlLog } from '../../replication/ControlLog/index.js';
import { RolloutOutcome } from '../../rollouts/types.js';
import type { RolloutResult } from '../../rollouts/types.js';
import { RequestExecution } from '../types.js';
import type { ListedRollout, RolloutResponse } from '../types.js';

const logger = createLogger('operator-api');

export const READ_TIMEOUT_MS = 2_000;

const MAX_DURATION_MS = 4_294_967_295;

const orderSchema = v.object({
  targetVersion: v.pipe(v.string(), v.minLength(1)),
  durationMs: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_DURATION_MS)),
});

/** Body of an order. */
export type RolloutOrder = v.InferOutput<typeof orderSchema>;

const EXECUTION_BY_OUTCOME: Record<RolloutOutcome, RequestExecution> = {
  [RolloutOutcome.Accepted]: RequestExecution.Executed,
  [RolloutOutcome.AlreadyAccepted]: RequestExecution.Executed,
  [RolloutOutcome.InProgress]: RequestExecution.NotExecuted,
  [RolloutOutcome.UnknownService]: RequestExecution.NotExecuted,
  [RolloutOutcome.SameVersion]: RequestExecution.NotExecuted,
  [RolloutOutcome.InvalidDuration]: RequestExecution.NotExecuted,
  [RolloutOutcome.Invalid]: RequestExecution.NotExecuted,
  [RolloutOutcome.Superseded]: RequestExecution.NotExecuted,
  [RolloutOutcome.Unavailable]: RequestExecution.NotExecuted,
  [RolloutOutcome.Unknown]: RequestExecution.Unknown,
};

/** HTTP status of each outcome. */
export const STATUS_BY_ROLLOUT_OUTCOME = {
  [RolloutOutcome.Accepted]: 200,
  [RolloutOutcome.AlreadyAccepted]: 200,
  [RolloutOutcome.InProgress]: 409,
  [RolloutOutcome.UnknownService]: 422,
  [RolloutOutcome.SameVersion]: 409,
  [RolloutOutcome.InvalidDuration]: 422,
  [RolloutOutcome.Invalid]: 422,
  [RolloutOutcome.Superseded]: 409,
  [RolloutOutcome.Unavailable]: 503,
  [RolloutOutcome.Unknown]: 504,
} as const;

/** Parses the body of an order; undefined if it is not one. */
export const parseRolloutOrder = (text: string): RolloutOrder | undefined => {
  try {
    const parsed = v.safeParse(orderSchema, JSON.parse(text), { abortEarly: true });
    return parsed.success ? parsed.output : undefined;
  } catch {
    return undefined;
  }
};

/** Converts a roll-out to its row in `GET /v1/rollouts`. */
export const toListedRollout = (rollout: Rollout): ListedRollout => ({
  id: rollout.id,
  service: rollout.service,
  targetVersion: rollout.targetVersion,
  stage: RolloutStage[rollout.stage],
  sharePermille: rollout.sharePermille,
  step: rollout.step,
  orderedAtMs: Number(rollout.orderedAtMs),
  durationMs: rollout.durationMs,
  operator: rollout.operator,
  requestId: rollout.requestId,
  reason: rollout.reason,
});

const propose = async (log: ControlLog, order: Rollout, nowMs: number): Promise<RolloutResult> => {
  try {
    return await log.proposeRollout(order, nowMs);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    logger.error({ requestId: order.requestId, reason }, 'order of a roll-out failed unexpectedly');
    const message = 'the order failed with an internal error; retrying is safe';
    return { outcome: RolloutOutcome.Unknown, message };
  }
};

/**
 * Orders a roll-out.
 *
 * @param log - replicated log of this control VM
 * @param fields - service, request id and operator
 * @param order - target version and duration
 * @param nowMs - current time in milliseconds since the epoch
 */
export const orderRollout = async (
  log: ControlLog,
  fields: { service: string; requestId: string; operator: string },
  order: RolloutOrder,
  nowMs: number,
): Promise<RolloutResponse> => {
  const stage = RolloutStage.CANARY;
  const rollout = create(RolloutSchema, { ...fields, ...order, stage });
  const { outcome, message } = await propose(log, rollout, nowMs);
  logger.info({ ...fields, ...order, outcome, reason: message }, 'order of a roll-out completed');
  return { outcome, ran: EXECUTION_BY_OUTCOME[outcome], message, ...fields, ...order };
};
