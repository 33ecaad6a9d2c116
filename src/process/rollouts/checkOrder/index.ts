/** Decides whether an order or a step of a roll-out can be accepted. */
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { isInProgress } from '../RolloutBook/index.js';
import type { RolloutBook } from '../RolloutBook/index.js';
import { computeMinDurationMs } from '../planRollout/index.js';
import { RolloutOutcome } from '../types.js';
import type { RolloutResult } from '../types.js';

/**
 * Time within which an order without a request id is taken for the repeat of an equal one that has
 * ended. Operators repeat an order for a few seconds at most.
 */
const REPEAT_WINDOW_MS = 60_000;

const MAX_NAME_LENGTH = 128;

const isName = (text: string): boolean => text !== '' && text.length <= MAX_NAME_LENGTH;

const describe = ({ service, targetVersion }: Rollout): string =>
  `the roll-out of ${service} to ${targetVersion}`;

const isEqualOrder = (order: Rollout, other: Rollout): boolean =>
  other.service === order.service &&
  other.targetVersion === order.targetVersion &&
  other.durationMs === order.durationMs;

const isRepeat = (order: Rollout, earlier: Rollout): boolean => {
  if (!isEqualOrder(order, earlier)) return false;
  if (isInProgress(earlier)) return true;
  if (order.requestId !== '') return order.requestId === earlier.requestId;
  const elapsedMs = Number(order.orderedAtMs - earlier.orderedAtMs);
  return Math.abs(elapsedMs) <= REPEAT_WINDOW_MS;
};

/**
 * Checks an order against the roll-outs before it and the configuration in force. The answer to an
 * operator whose acknowledgement was lost must not be a refusal, whatever has happened since: an
 * order with the request id of an accepted one is a repeat for good, one without a request id while
 * the accepted one is in progress or recent.
 *
 * @param book - all roll-outs accepted before
 * @param order - the order; `orderedAtMs` is the time of this attempt
 * @param configuration - the configuration in force, if there is one
 * @returns the answer; undefined if the order can be accepted
 */
export const checkOrder = (
  book: RolloutBook,
  order: Rollout,
  configuration: Configuration | undefined,
): RolloutResult | undefined => {
  const earlier = book.listOf(order.service);
  if (earlier.some((rollout) => isRepeat(order, rollout))) {
    return {
      outcome: RolloutOutcome.AlreadyAccepted,
      message: `${describe(order)} was accepted before`,
    };
  }
  if (!isName(order.service) || !isName(order.targetVersion)) {
    const message = `service and version must have 1 to ${MAX_NAME_LENGTH} characters`;
    return { outcome: RolloutOutcome.Invalid, message };
  }
  if (!configuration?.services.some(({ name }) => name === order.service)) {
    const message = `the configuration in force has no service ${order.service}`;
    return { outcome: RolloutOutcome.UnknownService, message };
  }
  const current = earlier.find(isInProgress);
  if (current) {
    return { outcome: RolloutOutcome.InProgress, message: `${describe(current)} is in progress` };
  }
  const completed = earlier.findLast(({ stage }) => stage === RolloutStage.COMPLETED);
  if (completed?.targetVersion === order.targetVersion) {
    const message = `${order.service} is at version ${order.targetVersion} already`;
    return { outcome: RolloutOutcome.SameVersion, message };
  }
  const minDurationMs = computeMinDurationMs(configuration, order.service);
  if (order.durationMs < minDurationMs) {
    const message =
      `a duration of ${order.durationMs} ms cannot be kept; ${order.service} needs at least ` +
      `${minDurationMs} ms, as requests at the old servers must end first`;
    return { outcome: RolloutOutcome.InvalidDuration, message };
  }
  return undefined;
};

/**
 * Checks a step of the leader. A step that is late or repeated must change nothing.
 *
 * @param book - all roll-outs accepted before
 * @param step - the whole state after the step
 * @returns the answer; undefined if the step can be accepted
 */
export const checkStep = (book: RolloutBook, step: Rollout): RolloutResult | undefined => {
  if (book.isNextStep(step)) return undefined;
  const current = book.find(step.id);
  const isSame =
    current?.step === step.step &&
    current.stage === step.stage &&
    current.sharePermille === step.sharePermille;
  return isSame
    ? { outcome: RolloutOutcome.AlreadyAccepted, message: `${describe(step)} has this step` }
    : { outcome: RolloutOutcome.Superseded, message: `${describe(step)} has gone on` };
};
