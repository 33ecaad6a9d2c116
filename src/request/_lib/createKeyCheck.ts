import type { Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { findKeyFault } from '../admitKey/index.js';

import type { RequestContext } from './RequestContext.js';
import type { RefusalReason } from './writeRefusal.js';

/** The key that admitted a request, if one did. */
interface KeyedRequest {
  version: number;
  workspace?: Pick<Workspace, 'name'> | undefined;
  keyId?: string | undefined;
  /** Time for which the entry node could accept the key when it sent the request; 0 if unknown. */
  proofLeftMs?: number | undefined;
}

type KeyContext = Pick<
  RequestContext,
  'current' | 'readKeyProofLeftMs' | 'isAfterPause' | 'getNowMs'
>;

/**
 * Creates the check of a key that is made again before the request is sent to a server.
 *
 * The proof of the entry node is enough, so that the servers of a node that only the control VMs
 * cannot reach stay in use. It is not if the request may have waited in the buffers of this node
 * while the node was suspended.
 *
 * @param context - configuration in force and its last confirmation, read at each check
 * @param request - the key as the entry node admitted it
 * @returns the check; undefined for a request without a key
 */
const createKeyCheck = (
  context: KeyContext,
  { version, workspace, keyId, proofLeftMs = 0 }: KeyedRequest,
): (() => RefusalReason | undefined) | undefined => {
  if (!workspace || keyId === undefined) return undefined;
  const forwarded = { workspaceName: workspace.name, keyId, version };
  const provenUntilMs = context.isAfterPause() ? 0 : context.getNowMs() + proofLeftMs;
  const isProven = (): boolean =>
    context.readKeyProofLeftMs() > 0 ||
    (context.getNowMs() < provenUntilMs && !context.isAfterPause());
  return () => findKeyFault(forwarded, context.current(), isProven());
};

export default createKeyCheck;
