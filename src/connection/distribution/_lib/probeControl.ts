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
 * Reads the committed version of a control VM over a separate connection.
 *
 * @param address - host:port of the control VM
 * @returns the response, or why the call failed
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
