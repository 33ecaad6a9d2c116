import { createHash } from 'node:crypto';

import { formatServerKey } from '../../observeServers/index.js';

import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { ServerEntry } from '../../../process/endpoints/types.js';

/** A single server that is slow or broken must not be taken for a bad version. */
const MIN_EXPOSED_SERVERS = 3;
const PERMILLE = 1_000;

const hash = (text: string): string => createHash('sha256').update(text).digest('hex');

/**
 * Selects the servers of the target version that get its share of the requests: so many that each is
 * about as busy as those of the other version, and the same on all nodes. Spread over all servers, the
 * share would leave each nearly idle, and a version that is bad under load only would look good.
 *
 * @param entries - live servers of the target version
 * @param rollout - the roll-out; the order of the servers differs between roll-outs
 * @param baseCount - number of live servers of the other version
 */
const selectExposed = (
  entries: ServerEntry[],
  rollout: Pick<Rollout, 'id' | 'sharePermille'>,
  baseCount: number,
): ServerEntry[] => {
  const shareCount = Math.ceil((baseCount * rollout.sharePermille) / PERMILLE);
  const count = Math.max(MIN_EXPOSED_SERVERS, shareCount);
  if (entries.length <= count) return entries;
  return entries
    .map((entry) => ({ entry, order: hash(`${rollout.id}/${formatServerKey(entry)}`) }))
    .toSorted((left, right) => (left.order < right.order ? -1 : 1))
    .slice(0, count)
    .map(({ entry }) => entry);
};

export default selectExposed;
