import { MAX_SHEET_BYTES, SheetErrorCode, parseSheet } from '../../../version/parseSheet/index.js';
import { createLogger } from '../../log/index.js';
import { ApplyOutcome } from '../../replication/ControlLog/index.js';
import { RequestExecution } from '../types.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { SheetError } from '../../../version/parseSheet/index.js';
import type { ApplyResult, ControlLog } from '../../replication/ControlLog/index.js';
import type { ApplyResponse } from '../types.js';

/** A request to apply a sheet under a version number. */
export interface ApplyRequest {
  version: number;
  requestId: string;
  operator: string;
  sheet: Uint8Array;
}

const logger = createLogger('operator-api');

const EXECUTION_BY_OUTCOME: Record<ApplyOutcome, RequestExecution> = {
  [ApplyOutcome.Accepted]: RequestExecution.Executed,
  [ApplyOutcome.AlreadyAccepted]: RequestExecution.Executed,
  [ApplyOutcome.Conflict]: RequestExecution.NotExecuted,
  [ApplyOutcome.Stale]: RequestExecution.NotExecuted,
  [ApplyOutcome.BaseMismatch]: RequestExecution.NotExecuted,
  [ApplyOutcome.Invalid]: RequestExecution.NotExecuted,
  [ApplyOutcome.Unavailable]: RequestExecution.NotExecuted,
  [ApplyOutcome.Unknown]: RequestExecution.Unknown,
};

const createResponse = (request: ApplyRequest, result: ApplyResult): ApplyResponse => ({
  outcome: result.outcome,
  ran: EXECUTION_BY_OUTCOME[result.outcome],
  message: result.message,
  requestId: request.requestId,
  version: request.version,
  ...(result.holder ? { holder: result.holder } : {}),
});

const createInvalidResponse = (request: ApplyRequest, error: SheetError): ApplyResponse => {
  const message =
    error.code === SheetErrorCode.TooLarge
      ? `the sheet is larger than ${MAX_SHEET_BYTES} bytes; nothing was applied`
      : `${error.message}; nothing was applied`;
  const result = { outcome: ApplyOutcome.Invalid, message };
  return { ...createResponse(request, result), faults: error.faults };
};

/** Proposes the version. An exception gives UNKNOWN, because the version may have been accepted. */
const propose = async (
  log: ControlLog,
  request: ApplyRequest,
  configuration: Configuration,
  nowMs: number,
): Promise<ApplyResult> => {
  const { requestId, operator } = request;
  try {
    return await log.propose({ requestId, operator, configuration }, nowMs);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    logger.error({ requestId, version: request.version, reason }, 'proposal failed unexpectedly');
    const message = 'the proposal failed with an internal error; retrying is safe';
    return { outcome: ApplyOutcome.Unknown, message };
  }
};

/**
 * Validates a sheet and proposes it to the replicated log.
 *
 * @param log - replicated log of this control VM
 * @param request - the sheet with its version number and request id
 * @param nowMs - current time in milliseconds since the epoch
 * @returns the response body; an invalid sheet is not proposed
 */
const applySheet = async (
  log: ControlLog,
  request: ApplyRequest,
  nowMs: number,
): Promise<ApplyResponse> => {
  const parsed = parseSheet(request.sheet, { version: request.version });
  const response = parsed.isErr()
    ? createInvalidResponse(request, parsed.error)
    : createResponse(request, await propose(log, request, parsed.value, nowMs));
  logger.info(
    {
      requestId: request.requestId,
      operator: request.operator,
      version: request.version,
      reason: response.outcome,
      ran: response.ran,
    },
    'apply request completed',
  );
  return response;
};

export default applySheet;
