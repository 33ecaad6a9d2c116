import type { Rollout } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { VersionReason } from './_lib/decideVersion.js';

/** Whether a request has reached a server. */
export enum Reach {
  None = 'none',
  Possible = 'possible',
  Certain = 'certain',
}

/** The servers that a request may be sent to. */
export interface VersionChoice {
  entries: ServerEntry[];
  /** Software version of the servers; undefined when it does not matter or there is none. */
  softwareVersion: string | undefined;
  reason: VersionReason;
  /** The roll-out whose share of requests the request uses; undefined for any other request. */
  exposure: Rollout | undefined;
}

/** Chooses by software version which servers of a service a request may be sent to. */
export abstract class VersionPolicy {
  /**
   * Chooses the servers of one attempt; changes no share.
   *
   * @param service - service of the request
   * @param live - all live servers of the service, also those that the request has tried
   * @param canExpose - whether the request may use a share of a roll-out; false for retries
   */
  abstract choose(service: string, live: ServerEntry[], canExpose: boolean): VersionChoice;

  /** Charges the share of a roll-out, immediately before a request is sent to the choice. */
  abstract charge(choice: VersionChoice): void;

  /**
   * Records the end of an attempt.
   *
   * @param service - service of the request
   * @param choice - what was charged
   * @param reach - whether the request has reached a server
   */
  abstract recordAttempt(service: string, choice: VersionChoice, reach: Reach): void;
}
