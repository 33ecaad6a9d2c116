import type { Workspace } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

type KeyIndex = ReadonlyMap<string, Workspace>;

/**
 * Indexes by the first row that they were built from. Versions that follow each other mostly share
 * all workspaces, and an index of many keys is the larger part of a compiled version.
 */
const knownIndexes = new WeakMap<Workspace, { rows: Workspace[]; index: KeyIndex }>();

const haveSameRows = (left: Workspace[], right: Workspace[]): boolean =>
  left.length === right.length && left.every((row, position) => row === right[position]);

/**
 * Indexes workspaces by the digests of their keys.
 *
 * @param workspaces - rows of one version; must not be modified after the call
 * @returns workspaces by digest in hexadecimal; the index of an earlier call with the same rows
 */
const indexKeys = (workspaces: Workspace[]): KeyIndex => {
  const [first] = workspaces;
  const known = first && knownIndexes.get(first);
  if (known && haveSameRows(known.rows, workspaces)) return known.index;
  const index = new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyDigests.map(
        (digest) => [Buffer.from(digest).toString('hex'), workspace] as const,
      ),
    ),
  );
  if (first) knownIndexes.set(first, { rows: workspaces, index });
  return index;
};

export default indexKeys;
