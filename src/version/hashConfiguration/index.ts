import { createHash } from 'node:crypto';

import { create, toBinary } from '@bufbuild/protobuf';

import type {
  CallerLimits,
  Route,
  Service,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { ConfigurationSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** The content of a configuration, without its version number. */
export interface ConfigurationContent {
  services: Service[];
  routes: Route[];
  /** Absent when the defaults apply. */
  limits?: CallerLimits | undefined;
}

const compareNames = (left: { name: string }, right: { name: string }): number => {
  if (left.name === right.name) return 0;
  return left.name < right.name ? -1 : 1;
};

/**
 * Computes the content hash of a configuration, independent of version and row order.
 *
 * @param content - services and routes in any order, and limits
 * @returns SHA-256 digest, 32 bytes
 *
 * @example
 * hashConfiguration({ services: [], routes: [] }).length; // 32
 */
export const hashConfiguration = (content: ConfigurationContent): Uint8Array => {
  const canonical = create(ConfigurationSchema, {
    services: content.services.toSorted(compareNames),
    routes: content.routes.toSorted(compareNames),
    ...(content.limits && { limits: content.limits }),
  });
  return createHash('sha256').update(toBinary(ConfigurationSchema, canonical)).digest();
};
