/** The times by which the steps of a roll-out are due. */
import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

/**
 * Time for a step to come into force at all nodes: one commit, one message to each node and the next
 * report of the node.
 */
export const SETTLE_MS = 1_500;

/** Shortest time for which the target version is observed with a small share. */
const MIN_CANARY_MS = 2_000;

/** Requests that may take longer are not waited for, so that a long timeout blocks no roll-out. */
const MAX_DRAIN_MS = 10_000;

/** Assumed where the routes of a service name no timeout. */
const DEFAULT_DRAIN_MS = 2_000;

/** Part of the duration that is left unused for elections and slow nodes, and its lower bound. */
const ROOM_SHARE = 0.1;
const MIN_ROOM_MS = 1_000;

/** Servers are slow for some seconds after their start. */
const WARM_UP_MS = 4_000;

/** Part of the canary time that the first small share takes at most. */
const FIRST_SHARE_PART = 0.4;

/** Part of the canary time after which a version may be found good; the rest is in reserve. */
const OBSERVED_PART = 0.85;

/** Time for which a good version gets a larger share beside the others before it gets all. */
const RAMP_MS = 2_500;

/** Canary time from which there is time for the larger share. */
const MIN_CANARY_WITH_RAMP_MS = 10_000;

/** Times since the order, in milliseconds. */
export interface RolloutPlan {
  /** Durations are not compared for so long after the first answer of the target version. */
  warmUpMs: number;
  /** Time for which a good version has the larger share; 0 if it is passed over. */
  rampMs: number;
  /** Time from which on a version may be found good. */
  judgeFromMs: number;
  /** Last time at which a version can be promoted and still be completed with room. */
  promoteByMs: number;
  /** How long requests at old servers may take after the last node has left these. */
  drainMs: number;
}

/**
 * Returns how long requests of a service may run: the longest timeout of its routes.
 *
 * @param configuration - the configuration in force
 * @param service - name of the service
 */
export const computeDrainMs = (
  configuration: Configuration | undefined,
  service: string,
): number => {
  const timeoutsMs = (configuration?.routes ?? [])
    .filter(({ targets }) => targets.some((target) => target.service === service))
    .map(({ timeoutMs }) => timeoutMs);
  const ownMs = configuration?.services.find(({ name }) => name === service)?.timeoutMs ?? 0;
  const longestMs = Math.max(ownMs, ...timeoutsMs, 0);
  return Math.min(MAX_DRAIN_MS, longestMs > 0 ? longestMs : DEFAULT_DRAIN_MS);
};

/** Returns the shortest duration within which a roll-out of a service can be completed. */
export const computeMinDurationMs = (configuration: Configuration, service: string): number =>
  MIN_CANARY_MS + SETTLE_MS + computeDrainMs(configuration, service) + MIN_ROOM_MS;

/**
 * Plans a roll-out. The version is observed with a small share for as long as the duration allows,
 * since some versions turn bad only later; a promoted one has all requests.
 *
 * @param durationMs - time within which the roll-out is to be completed
 * @param drainMs - how long requests at old servers may take
 */
export const planRollout = (durationMs: number, drainMs: number): RolloutPlan => {
  const roomMs = Math.max(MIN_ROOM_MS, durationMs * ROOM_SHARE);
  const promoteByMs = Math.max(0, durationMs - roomMs - drainMs - SETTLE_MS);
  const rampMs = promoteByMs >= MIN_CANARY_WITH_RAMP_MS ? RAMP_MS : 0;
  return {
    warmUpMs: Math.min(WARM_UP_MS, promoteByMs * FIRST_SHARE_PART),
    rampMs,
    judgeFromMs: promoteByMs * OBSERVED_PART - rampMs,
    promoteByMs,
    drainMs,
  };
};
