import type { Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { findKeyFault } from '../admitKey/index.js';

import type { RequestContext } from './RequestContext.js';
import type { RefusalReason } from './writeRefusal.js';

/** The key that admitted a request, if one did. */
interface KeyedRequest {
  version: number;
  workspace?: Pick<Workspace, 'name'> | undefined;
  keyId?: string | undefined;
}

/**
 * Creates the check of a key that is made again before the request is sent to a server.
 *
 * @param context - configuration in force and its last confirmation, read at each check
 * @param request - the key as the entry node admitted it
 * @returns the check; undefined for a request without a key
 */
const createKeyCheck = (
  context: Pick<RequestContext, 'current' | 'areKeysProven'>,
  { version, workspace, keyId }: KeyedRequest,
): (() => RefusalReason | undefined) | undefined => {
  if (!workspace || keyId === undefined) return undefined;
  const forwarded = { workspaceName: workspace.name, keyId, version };
  return () => findKeyFault(forwarded, context.current(), context.areKeysProven());
};

export default createKeyCheck;
