import { Agent, request } from 'undici';

import type { IncomingHttpHeaders } from 'node:http';

/** Request header with the remaining depth of nested calls. */
export const CALL_DEPTH_HEADER = 'x-call-depth';

const NESTED_CONNECTIONS = 64;

const agent = new Agent({ connections: NESTED_CONNECTIONS, pipelining: 1 });

export interface NestedTarget {
  url: string;
  host?: string;
}

/**
 * Sends the nested call of a request whose call depth is above 0.
 *
 * @param target - route on the node's `listen`
 * @param headers - headers of the outer request
 * @param remainingMs - remaining time of the outer request, passed on as its deadline
 * @param signal - aborted when the outer caller disconnects
 * @returns the HTTP status of the nested response; 200 without a call when the depth is 0
 */
export const callNested = async (
  target: NestedTarget,
  headers: IncomingHttpHeaders,
  remainingMs: number | undefined,
  signal: AbortSignal,
): Promise<number> => {
  const depth = Number(headers[CALL_DEPTH_HEADER] ?? 0);
  if (depth <= 0) return 200;
  const attempt = headers['foxtailvane-attempt'];
  const response = await request(target.url, {
    dispatcher: agent,
    signal,
    headers: {
      'x-request-id': `${String(headers['x-request-id'])}.${depth}`,
      [CALL_DEPTH_HEADER]: String(depth - 1),
      ...(target.host === undefined ? {} : { host: target.host }),
      ...(remainingMs === undefined ? {} : { 'foxtailvane-deadline-ms': String(remainingMs) }),
      ...(attempt === undefined ? {} : { 'foxtailvane-attempt': attempt }),
    },
  });
  await response.body.dump();
  return response.statusCode;
};
