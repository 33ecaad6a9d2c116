/** Roll-outs and configurations for tests. */
import { create } from '@bufbuild/protobuf';

import {
  ConfigurationSchema,
  RouteSchema,
  ServiceSchema,
} from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import type { Configuration } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { RolloutSchema, RolloutStage } from '../../src/_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../src/_generated/foxtailvane/v1/rollouts_pb.js';

/** Creates an order of `desk` to version v2 within 60 s. */
export const createOrder = (
  fields: Partial<Omit<Rollout, '$typeName' | '$unknown'>> = {},
): Rollout =>
  create(RolloutSchema, {
    service: 'desk',
    targetVersion: 'v2',
    durationMs: 60_000,
    stage: RolloutStage.CANARY,
    ...fields,
  });

/** Creates a configuration with one route for each service. */
export const createRoutedConfiguration = (
  services: string[] = ['desk', 'ledger'],
  timeoutMs = 2_000,
): Configuration =>
  create(ConfigurationSchema, {
    version: 1,
    services: services.map((name) => create(ServiceSchema, { name, timeoutMs: 500 })),
    routes: services.map((service) =>
      create(RouteSchema, { name: `${service}-route`, timeoutMs, targets: [{ service }] }),
    ),
  });
