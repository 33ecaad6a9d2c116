import { ApplyOutcome } from '../../ControlLog/index.js';
import type { ApplyResult } from '../../ControlLog/index.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { toHolder } from '../AcceptedVersions/index.js';
import type { AcceptedVersions } from '../AcceptedVersions/index.js';

/** Reports whether two changes have the same content hash. */
export const hasSameContent = (left: AcceptedVersion, right: AcceptedVersion): boolean =>
  Buffer.compare(left.contentHash, right.contentHash) === 0;

/** Creates the result of a change whose base version is not the newest version. */
export const createBaseMismatch = (
  versions: AcceptedVersions,
  change: AcceptedVersion,
): ApplyResult => {
  const { newest } = versions;
  return {
    outcome: ApplyOutcome.BaseMismatch,
    message: `the change is based on version ${change.baseVersion}, but version ${newest?.version ?? 0} is the newest`,
    ...(newest && { holder: toHolder(newest) }),
  };
};

/**
 * Determines the outcome of a change from the committed versions, if they already decide it. Later
 * entries cannot alter that outcome.
 *
 * @param versions - accepted versions as of the last applied entry
 * @param change - the proposed change
 * @returns AlreadyAccepted, Conflict, Stale or BaseMismatch; undefined if the change can still be
 *   accepted
 */
export const findFinalResult = (
  versions: AcceptedVersions,
  change: AcceptedVersion,
): ApplyResult | undefined => {
  const { newest } = versions;
  if (!newest) return undefined;
  if (change.version > newest.version) {
    const isBaseOutdated = change.baseVersion !== undefined && change.baseVersion < newest.version;
    return isBaseOutdated ? createBaseMismatch(versions, change) : undefined;
  }
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
