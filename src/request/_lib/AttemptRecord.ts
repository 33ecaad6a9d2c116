/** What an entry node logs about the attempts of a request. */

/** Why a request is not sent to another server. */
export enum NoFurtherAttempt {
  /** No other live server of the right version. */
  NoServer = 'NO_SERVER',
  /** No server is expected to have a free slot in time. */
  NoRoomInTime = 'NO_ROOM_IN_TIME',
  /** The route, the body or an outer layer does not allow it, or the request has ended. */
  NotRepeatable = 'NOT_REPEATABLE',
  /** The retry budget of the service is exhausted. */
  NoBudget = 'NO_BUDGET',
}

/** One attempt; times are in milliseconds since the request was received. */
export interface AttemptRecord {
  /** Node and id of the server. */
  server: string;
  sentMs: number;
  /** When the node beside the server acknowledged the request; absent for a local or direct call. */
  acknowledgedMs?: number;
  /** Absent while the attempt is in progress. */
  endedMs?: number;
  /** Status passed on, or the code of the error. */
  result?: string;
  reason?: string;
}

/**
 * Formats an attempt for a log line, such as `10.1.0.13/i-edfb6a3e0e REFUSED sent 1 ms, acknowledged 3 ms,
 * ended 4 ms: NO_SLOT`.
 */
export const formatAttempt = (record: AttemptRecord): string => {
  const { server, sentMs, acknowledgedMs, endedMs, result, reason } = record;
  const times = [
    `sent ${sentMs} ms`,
    ...(acknowledgedMs === undefined ? [] : [`acknowledged ${acknowledgedMs} ms`]),
    ...(endedMs === undefined ? [] : [`ended ${endedMs} ms`]),
  ];
  const line = `${server} ${result ?? 'OPEN'} ${times.join(', ')}`;
  return reason === undefined ? line : `${line}: ${reason}`;
};
