/** Applies the delta between two configuration versions. */
import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { ConfigurationSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { ConfigurationError, ConfigurationErrorCode } from '../ConfigurationError/index.js';
import { verifyHash } from '../verifyHash/index.js';

import type {
  Configuration,
  ConfigurationDelta,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';

export type { ConfigurationDelta } from '../../_generated/foxtailvane/v1/configuration_pb.js';

interface NamedRow {
  name: string;
}

const mergeRows = <Row extends NamedRow>(
  base: Row[],
  upserted: Row[],
  removed: string[],
): Row[] => {
  const rows = new Map(base.map((row) => [row.name, row]));
  removed.forEach((name) => rows.delete(name));
  upserted.forEach((row) => rows.set(row.name, row));
  return [...rows.values()].toSorted((left, right) => (left.name < right.name ? -1 : 1));
};

const isBaseOf = (base: Configuration, delta: ConfigurationDelta): boolean =>
  base.version === delta.baseVersion && Buffer.compare(base.contentHash, delta.baseHash) === 0;

/**
 * Applies a delta to the version it was created against.
 *
 * @param base - the present version
 * @param delta - the changes to the base version
 * @returns the new version; BaseMismatch when the delta is for another base, HashMismatch when the
 *   result does not match the content hash of the delta
 *
 * @example
 * applyDelta(version4, delta).map((configuration) => configuration.version); // 5
 */
export const applyDelta = (
  base: Configuration,
  delta: ConfigurationDelta,
): Result<Configuration, ConfigurationError> => {
  if (!isBaseOf(base, delta)) {
    const message = `delta to version ${delta.version} is for base version ${delta.baseVersion}, but version ${base.version} is held or its content differs`;
    return err(new ConfigurationError(ConfigurationErrorCode.BaseMismatch, message));
  }
  const next = create(ConfigurationSchema, {
    version: delta.version,
    contentHash: delta.contentHash,
    services: mergeRows(base.services, delta.upsertedServices, delta.removedServices),
    routes: mergeRows(base.routes, delta.upsertedRoutes, delta.removedRoutes),
    ...(delta.limits && { limits: delta.limits }),
    workspaces: mergeRows(base.workspaces, delta.upsertedWorkspaces, delta.removedWorkspaces),
    hasEmptyWorkspaces: delta.hasEmptyWorkspaces,
  });
  if (!verifyHash(next)) {
    const message = `content of version ${delta.version} does not match its hash after the delta`;
    return err(new ConfigurationError(ConfigurationErrorCode.HashMismatch, message));
  }
  return ok(next);
};
