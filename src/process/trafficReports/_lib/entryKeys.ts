import type { WorkspaceUsage } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { VersionEvidence } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

/** Returns the key of the entry within its node. */
export const evidenceKey = ({ service, softwareVersion, route }: VersionEvidence): string =>
  JSON.stringify([service, softwareVersion, route]);

/** Returns the key of the entry within its node. */
export const usageKey = ({ workspace }: WorkspaceUsage): string => workspace;
