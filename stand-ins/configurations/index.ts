/** Configurations for tests and experiments. */
import { create } from '@bufbuild/protobuf';

import type { MessageInitShape } from '@bufbuild/protobuf';
import { ConfigurationSchema } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { hashConfiguration } from '../../src/version/hashConfiguration/index.js';

import type { Configuration } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';

export type ConfigurationRows = Pick<
  MessageInitShape<typeof ConfigurationSchema>,
  'services' | 'routes' | 'workspaces'
>;

/** Builds a configuration from its rows, with the content hash set. */
export const buildConfiguration = (version: number, rows: ConfigurationRows): Configuration => {
  const configuration = create(ConfigurationSchema, { version, ...rows });
  return { ...configuration, contentHash: hashConfiguration(configuration) };
};

const createNumberedName = (prefix: string, index: number): string =>
  `${prefix}-${String(index).padStart(3, '0')}`;

export interface SizeOptions {
  services?: number;
  routes?: number;
  /** Timeout of the first route; changing it changes exactly one row. */
  firstTimeoutMs?: number;
}

/** Builds a configuration of a given size, by default the size the system is designed for. */
export const buildSizedConfiguration = (
  version: number,
  options: SizeOptions = {},
): Configuration => {
  const serviceCount = options.services ?? 33;
  const routeCount = options.routes ?? 200;
  const services = Array.from({ length: serviceCount }, (_, index) => ({
    name: createNumberedName('service', index),
    timeoutMs: 500,
    slots: 20,
    connections: 130,
  }));
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    name: createNumberedName('route', index),
    host: index % 2 === 0 ? '*' : 'orders.delta-south.example',
    pathPrefix: `/${createNumberedName('path', index)}`,
    methods: ['GET'],
    idempotent: true,
    timeoutMs: index === 0 ? (options.firstTimeoutMs ?? 400) : 400,
    maxAttempts: 2,
    targets: [{ service: createNumberedName('service', index % serviceCount), weightPercent: 100 }],
  }));
  return buildConfiguration(version, { services, routes });
};
