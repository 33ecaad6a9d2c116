/** Access control: which process roles may call which service. */
import { Code, ConnectError, createContextKey } from '@connectrpc/connect';

import type { ContextKey, ContextValues, Interceptor } from '@connectrpc/connect';
import { ProcessRole } from '../../process/tls/readIdentity/index.js';

import type { ProcessIdentity } from '../../process/tls/readIdentity/index.js';

/** Identity in the certificate of the caller; undefined when TLS is not configured. */
export const callerKey: ContextKey<ProcessIdentity | undefined> = createContextKey<
  ProcessIdentity | undefined
>(undefined, { description: 'caller' });

/** Whether the listener authenticates its callers. */
export const isTlsKey: ContextKey<boolean> = createContextKey(false, { description: 'isTls' });

// Services that are not listed reject all calls over TLS.
const ALLOWED_ROLES: Record<string, ProcessRole[]> = {
  'foxtailvane.v1.DistributionService': [ProcessRole.Node],
  'foxtailvane.v1.ExchangeService': [ProcessRole.Control],
  'foxtailvane.v1.IdempotencyService': [ProcessRole.Node],
  'foxtailvane.v1.PeerService': [ProcessRole.Node],
  'foxtailvane.v1.ReplicationService': [ProcessRole.Control],
};

/** Rejects calls of processes whose certificate does not have a role allowed for the service. */
export const checkAccess: Interceptor = (next) => (request) => {
  if (request.contextValues.get(isTlsKey)) {
    const caller = request.contextValues.get(callerKey);
    const allowed = ALLOWED_ROLES[request.service.typeName] ?? [];
    if (caller?.role === undefined || !allowed.includes(caller.role)) {
      const message = `role ${caller?.role ?? 'none'} may not call ${request.service.typeName}`;
      throw new ConnectError(message, Code.PermissionDenied);
    }
  }
  return next(request);
};

/**
 * Rejects a caller whose certificate names a process other than the claimed one.
 *
 * @param values - context values of the request
 * @param name - process that the caller claims to be
 * @throws ConnectError with PermissionDenied when its certificate names another process
 */
export const requireCaller = (values: ContextValues, name: string): void => {
  if (!values.get(isTlsKey)) return;
  const caller = values.get(callerKey);
  if (caller?.name === name) return;
  const message = `certificate of ${caller?.name ?? 'nobody'} does not authorize calls as ${name}`;
  throw new ConnectError(message, Code.PermissionDenied);
};
