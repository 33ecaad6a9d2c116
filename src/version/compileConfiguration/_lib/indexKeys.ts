import { formatKeyId } from '../../digestKey/index.js';

import type { Workspace } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

/** The workspaces of a version by their keys. */
export interface KeyIndex {
  byDigest: ReadonlyMap<string, Workspace>;
  byKeyId: ReadonlyMap<string, Workspace>;
}

/**
 * Indexes by the first row that they were built from. Versions that follow each other mostly share
 * all workspaces, and an index of many keys is the larger part of a compiled version.
 */
const knownIndexes = new WeakMap<Workspace, { rows: Workspace[]; index: KeyIndex }>();

const haveSameRows = (left: Workspace[], right: Workspace[]): boolean =>
  left.length === right.length && left.every((row, position) => row === right[position]);

const indexBy = (
  workspaces: Workspace[],
  format: (digest: Uint8Array) => string,
): ReadonlyMap<string, Workspace> =>
  new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyDigests.map((digest) => [format(digest), workspace] as const),
    ),
  );

/**
 * Indexes workspaces by the digests of their keys.
 *
 * @param workspaces - rows of one version; must not be modified after the call
 * @returns the index; that of an earlier call if the rows are the same
 */
const indexKeys = (workspaces: Workspace[]): KeyIndex => {
  const [first] = workspaces;
  const known = first && knownIndexes.get(first);
  if (known && haveSameRows(known.rows, workspaces)) return known.index;
  const index = {
    byDigest: indexBy(workspaces, (digest) => Buffer.from(digest).toString('hex')),
    byKeyId: indexBy(workspaces, formatKeyId),
  };
  if (first) knownIndexes.set(first, { rows: workspaces, index });
  return index;
};

export default indexKeys;
