import { createHash } from 'node:crypto';

import { toBinary } from '@bufbuild/protobuf';
import { BinaryWriter, WireType } from '@bufbuild/protobuf/wire';

import type {
  CallerLimits,
  Route,
  Service,
  Workspace,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import {
  CallerLimitsSchema,
  ConfigurationSchema,
  RouteSchema,
  ServiceSchema,
  WorkspaceSchema,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import encodeRow from '../_lib/encodeRow.js';

/** The content of a configuration, without its version number. */
export interface ConfigurationContent {
  services: Service[];
  routes: Route[];
  /** Absent when the defaults apply. */
  limits?: CallerLimits | undefined;
  /** Absent when requests need no key. */
  workspaces?: Workspace[] | undefined;
  /** Whether requests need a key although there is no workspace. */
  hasEmptyWorkspaces?: boolean | undefined;
}

const compareNames = (left: { name: string }, right: { name: string }): number => {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
};

const FIELDS = ConfigurationSchema.field;

/**
 * Computes the content hash of a configuration, independent of version and row order: the digest of
 * the encoded configuration without version and hash, with sorted rows.
 *
 * @param content - services, routes and workspaces in any order, limits, and whether there is an empty
 *   list of workspaces; rows must not be
 *   modified after the call
 * @returns SHA-256 digest, 32 bytes
 *
 * @example
 * hashConfiguration({ services: [], routes: [] }).length; // 32
 */
export const hashConfiguration = ({
  services,
  routes,
  limits,
  workspaces = [],
  hasEmptyWorkspaces = false,
}: ConfigurationContent): Uint8Array => {
  const writer = new BinaryWriter();
  const write = ({ number }: { number: number }, encoded: Uint8Array): void => {
    writer.tag(number, WireType.LengthDelimited).bytes(encoded);
  };
  services
    .toSorted(compareNames)
    .forEach((service) => write(FIELDS.services, encodeRow(ServiceSchema, service)));
  routes
    .toSorted(compareNames)
    .forEach((route) => write(FIELDS.routes, encodeRow(RouteSchema, route)));
  if (limits) write(FIELDS.limits, toBinary(CallerLimitsSchema, limits));
  workspaces
    .toSorted(compareNames)
    .forEach((workspace) => write(FIELDS.workspaces, encodeRow(WorkspaceSchema, workspace)));
  if (hasEmptyWorkspaces) {
    writer.tag(FIELDS.hasEmptyWorkspaces.number, WireType.Varint).bool(hasEmptyWorkspaces);
  }
  return createHash('sha256').update(writer.finish()).digest();
};
