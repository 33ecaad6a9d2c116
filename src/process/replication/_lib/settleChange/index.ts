import { ApplyOutcome } from '../../ControlLog/index.js';
import type { ApplyResult } from '../../ControlLog/index.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { toHolder } from '../AcceptedVersions/index.js';
import type { AcceptedVersions } from '../AcceptedVersions/index.js';

/** Tells whether two changes have the same content. */
export const hasSameContent = (left: AcceptedVersion, right: AcceptedVersion): boolean =>
  Buffer.compare(left.contentHash, right.contentHash) === 0;

/**
 * Decides a change by what is committed, which no later event can alter.
 *
 * @param versions - accepted versions as of the last applied entry
 * @param change - the change asked for
 * @returns AlreadyAccepted, Conflict or Stale; undefined when the change can still be accepted
 */
export const settleChange = (
  versions: AcceptedVersions,
  change: AcceptedVersion,
): ApplyResult | undefined => {
  const { newest } = versions;
  if (!newest || change.version > newest.version) return undefined;
  const accepted = versions.find(change.version);
  if (!accepted) {
    return {
      outcome: ApplyOutcome.Stale,
      message: `version ${change.version} is lower than version ${newest.version}, which is accepted`,
      holder: toHolder(newest),
    };
  }
  const holder = toHolder(accepted);
  if (hasSameContent(accepted, change)) {
    const message = `version ${change.version} was already accepted with the same content`;
    return { outcome: ApplyOutcome.AlreadyAccepted, message, holder };
  }
  const since = new Date(holder.acceptedAtMs).toISOString();
  const message = `version ${change.version} is held by ${holder.operator} since ${since}`;
  return { outcome: ApplyOutcome.Conflict, message, holder };
};
