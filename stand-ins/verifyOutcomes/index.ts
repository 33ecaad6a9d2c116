import { ExecutionEvent } from '../backendServer/index.js';
import { RequestOutcome } from '../recordingClient/index.js';

import type { ExecutionRecord } from '../backendServer/index.js';
import type { SentRequest } from '../recordingClient/index.js';

export enum ViolationKind {
  ExecutedTwice = 'executed-twice',
  NotRunWasExecuted = 'not-run-was-executed',
  WrongBody = 'wrong-body',
  AnsweredWithoutExecution = 'answered-without-execution',
}

export interface Violation {
  kind: ViolationKind;
  requestId: string;
  /** Servers that executed the request. */
  serverIds: string[];
}

const VIOLATION_CHECKS: Record<ViolationKind, (sent: SentRequest, executions: number) => boolean> =
  {
    [ViolationKind.ExecutedTwice]: (sent, executions) => !sent.isIdempotent && executions > 1,
    [ViolationKind.NotRunWasExecuted]: (sent, executions) =>
      sent.outcome === RequestOutcome.NotRun && executions > 0,
    [ViolationKind.WrongBody]: (sent) => sent.outcome === RequestOutcome.WrongBody,
    [ViolationKind.AnsweredWithoutExecution]: (sent, executions) =>
      sent.outcome === RequestOutcome.Answered && executions === 0,
  };

/**
 * Checks the outcomes that clients recorded against the executions that servers recorded.
 *
 * @param sent - records of the clients
 * @param records - records of all servers
 * @returns every violated invariant; empty when all hold
 *
 * @example
 * t.strictSame(verifyOutcomes(client.sent, readExecutions(file)), []);
 */
export const verifyOutcomes = (sent: SentRequest[], records: ExecutionRecord[]): Violation[] => {
  const serversById = new Map<string, string[]>();
  records
    .filter((record) => record.event === ExecutionEvent.Start)
    .forEach(({ requestId, serverId }) => {
      const servers = serversById.get(requestId);
      if (servers === undefined) serversById.set(requestId, [serverId]);
      else servers.push(serverId);
    });
  return sent.flatMap((request) => {
    const serverIds = serversById.get(request.requestId) ?? [];
    return Object.values(ViolationKind)
      .filter((kind) => VIOLATION_CHECKS[kind](request, serverIds.length))
      .map((kind) => ({ kind, requestId: request.requestId, serverIds }));
  });
};

/**
 * Counts outcomes for a report.
 *
 * @param sent - records of the clients
 */
export const countOutcomes = (sent: SentRequest[]): Partial<Record<RequestOutcome, number>> =>
  Object.fromEntries(
    Object.values(RequestOutcome)
      .map((outcome) => [outcome, sent.filter((one) => one.outcome === outcome).length] as const)
      .filter(([, count]) => count > 0),
  );
