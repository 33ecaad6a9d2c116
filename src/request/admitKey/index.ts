/** Decides whether the key that a caller presented admits its request. */
import { digestKey, formatKeyId } from '../../version/digestKey/index.js';
import { RefusalReason, createNotRunRefusal } from '../_lib/writeRefusal.js';

import type { Route, Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { CompiledConfiguration } from '../../version/compileConfiguration/types.js';
import type { Refusal } from '../_lib/writeRefusal.js';

/** What a node knows when a request arrives. */
export interface KeyFacts {
  compiled: CompiledConfiguration;
  route: Route;
  /** Whether a control VM has recently confirmed that this node holds the newest version. */
  isCurrent: () => boolean;
  /** From `RequestContext`. */
  readKeyProofLeftMs: () => number;
}

/** The workspace that sends a request, and the key by which it was recognized. */
export interface AdmittedKey {
  workspace: Workspace;
  keyId: string;
}

const UNAUTHORIZED = 401;

const refuseUnknownKey = (isCurrent: boolean): Refusal => {
  const message = 'the request has no key that this configuration knows';
  return isCurrent
    ? createNotRunRefusal(RefusalReason.UnknownKey, message, { statusCode: UNAUTHORIZED })
    : createNotRunRefusal(RefusalReason.VersionUnconfirmed, message);
};

/**
 * Decides whether a request may be served, by the key that came with it.
 *
 * Answers strangers who try keys, callers whose key was withdrawn, and callers whose key this node
 * does not know yet because it is behind.
 *
 * @param readKey - reads the key of the request; called only if the route needs one
 * @param facts - configuration in force, route, and how recently the version was confirmed
 * @returns the workspace and the key; undefined if the route needs no key; or the refusal
 *
 * @example
 * const admitted = admitKey(() => dialect.readCallerKey(request), facts);
 */
export const admitKey = (
  readKey: () => string | undefined,
  { compiled, route, isCurrent, readKeyProofLeftMs }: KeyFacts,
): AdmittedKey | Refusal | undefined => {
  if (!compiled.needsKeys || route.isKeyless) return undefined;
  const key = readKey();
  const digest = key === undefined ? undefined : digestKey(key);
  const workspace = digest && compiled.findWorkspace(digest.toString('hex'));
  if (!workspace) return refuseUnknownKey(isCurrent());
  if (readKeyProofLeftMs() <= 0) {
    const message = 'this node has not been told recently whether the key is still valid';
    return createNotRunRefusal(RefusalReason.KeyUnconfirmed, message);
  }
  return { workspace, keyId: formatKeyId(digest) };
};

/** A key that an entry node has admitted. */
export interface ForwardedKey {
  workspaceName: string;
  keyId: string;
  /** Version in force on the entry node. */
  version: number;
}

/**
 * Checks a key again beside the server, once the request has got a slot. The request may have waited
 * since, or this node may have been suspended with the request in its buffers.
 *
 * @param forwarded - the key as the entry node admitted it
 * @param compiled - version in force on this node, if there is one
 * @param isProven - whether the confirmation of the entry node or of this one is recent enough
 * @returns the reason why the request must not run; undefined if it may
 */
export const findKeyFault = (
  { workspaceName, keyId, version }: ForwardedKey,
  compiled: CompiledConfiguration | undefined,
  isProven: boolean,
): RefusalReason | undefined => {
  if (!isProven) return RefusalReason.KeyUnconfirmed;
  // The entry node may hold a newer version, in which the key was added.
  if (!compiled?.needsKeys || compiled.version < version) return undefined;
  const holder = compiled.findWorkspaceByKeyId(keyId);
  return holder?.name === workspaceName ? undefined : RefusalReason.UnknownKey;
};
