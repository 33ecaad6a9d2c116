import { createClient } from '@connectrpc/connect';
import { ResultAsync } from 'neverthrow';

import { DistributionService } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { ProcessRole } from '../../../process/tls/readIdentity/index.js';
import { openTransport } from '../../openTransport/index.js';
import { LinkError } from '../LinkError/index.js';

import type { ReadVersionResponse } from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { TlsMaterial } from '../../openTransport/index.js';

export interface ProbeOptions {
  tls: TlsMaterial | undefined;
  timeoutMs: number;
  signal: AbortSignal;
}

/**
 * Asks a control VM which version it holds, on a connection of its own.
 *
 * @param address - host:port of the control VM
 * @returns its answer, or why there was none
 */
export const probeControl = (
  address: string,
  options: ProbeOptions,
): ResultAsync<ReadVersionResponse, LinkError> => {
  const { tls, timeoutMs, signal } = options;
  const { transport, close } = openTransport(
    address,
    tls ? { tls, peerRole: ProcessRole.Control } : {},
  );
  const call = createClient(DistributionService, transport)
    .readVersion({}, { timeoutMs, signal })
    .finally(close);
  return ResultAsync.fromPromise(call, (cause) => LinkError.from(cause));
};
