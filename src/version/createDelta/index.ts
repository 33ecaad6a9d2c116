/** Creates the delta between two configuration versions. */
import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';

import type { DescMessage, Message } from '@bufbuild/protobuf';
import type { Result } from 'neverthrow';
import {
  ConfigurationDeltaSchema,
  RouteSchema,
  ServiceSchema,
  WorkspaceSchema,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import encodeRow from '../_lib/encodeRow.js';
import { ConfigurationError, ConfigurationErrorCode } from '../ConfigurationError/index.js';

import type {
  Configuration,
  ConfigurationDelta,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';

export type { ConfigurationDelta } from '../../_generated/foxtailvane/v1/configuration_pb.js';

interface NamedRow {
  name: string;
}

const selectUpserted = <Row extends Message & NamedRow>(
  schema: DescMessage,
  base: Row[],
  next: Row[],
): Row[] => {
  const isEqual = (left: Row, right: Row): boolean =>
    left === right || Buffer.compare(encodeRow(schema, left), encodeRow(schema, right)) === 0;
  const baseRows = new Map(base.map((row) => [row.name, row]));
  return next.filter((row) => {
    const baseRow = baseRows.get(row.name);
    return baseRow === undefined || !isEqual(baseRow, row);
  });
};

const selectRemoved = (base: NamedRow[], next: NamedRow[]): string[] => {
  const nextNames = new Set(next.map((row) => row.name));
  return base.map((row) => row.name).filter((name) => !nextNames.has(name));
};

/**
 * Creates the delta that turns one version into a newer one.
 *
 * @param base - the version that the receiver has
 * @param next - the version that the delta leads to
 * @returns the delta, or NotNewer when the version number of `next` is not the greater one
 *
 * @example
 * createDelta(version4, version5).map((delta) => delta.upsertedRoutes.length);
 */
export const createDelta = (
  base: Configuration,
  next: Configuration,
): Result<ConfigurationDelta, ConfigurationError> => {
  if (next.version <= base.version) {
    const message = `version ${next.version} is not newer than base version ${base.version}`;
    return err(new ConfigurationError(ConfigurationErrorCode.NotNewer, message));
  }
  return ok(
    create(ConfigurationDeltaSchema, {
      baseVersion: base.version,
      baseHash: base.contentHash,
      version: next.version,
      contentHash: next.contentHash,
      upsertedServices: selectUpserted(ServiceSchema, base.services, next.services),
      removedServices: selectRemoved(base.services, next.services),
      upsertedRoutes: selectUpserted(RouteSchema, base.routes, next.routes),
      removedRoutes: selectRemoved(base.routes, next.routes),
      ...(next.limits && { limits: next.limits }),
      upsertedWorkspaces: selectUpserted(WorkspaceSchema, base.workspaces, next.workspaces),
      removedWorkspaces: selectRemoved(base.workspaces, next.workspaces),
      hasEmptyWorkspaces: next.hasEmptyWorkspaces,
    }),
  );
};
