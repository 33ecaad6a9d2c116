/** Responses whose end is marked only by the orderly end of their connection. */
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { resetConnection } from '../resetConnection/index.js';

/** Responses of this process that are not sent completely. */
const unfinished = new Set<ServerResponse>();

/** Resets the connection of a response, so that its end doesn't count as that of the response. */
const resetResponse = ({ socket }: ServerResponse): void => {
  if (socket) resetConnection(socket);
};

const listUnfinished = (): ServerResponse[] =>
  [...unfinished].filter(({ writableFinished }) => !writableFinished);

/**
 * The system closes the connections of a process in order as it exits, whether it ends as planned or
 * because of an uncaught error.
 */
const resetAllAtExit = (): void => listUnfinished().forEach(resetResponse);

/**
 * Delimits a response by closing its connection, because its length is not known.
 *
 * @param response - response whose head has not been written
 */
export const delimitByClose = (response: ServerResponse): void => {
  const target = response;
  target.shouldKeepAlive = false;
  target.useChunkedEncodingByDefault = false;
  if (unfinished.size === 0) process.once('exit', resetAllAtExit);
  unfinished.add(response);
  response.once('close', () => {
    unfinished.delete(response);
    if (unfinished.size === 0) process.off('exit', resetAllAtExit);
  });
};

/**
 * Closes the connection of a response that can't be completed, so that its caller does not take a part
 * of it for the whole.
 *
 * @param response - response that has not been sent completely
 */
export const abortResponse = (response: ServerResponse): void => {
  if (unfinished.has(response)) resetResponse(response);
  response.destroy();
};

/**
 * Resets the connections of the responses that end with them and are not sent completely. Called before
 * connections are closed in order.
 *
 * @param isConcerned - whether to reset the connection given; all connections by default
 * @returns number of connections that were reset
 */
export const resetUnfinished = (isConcerned: (socket: Socket) => boolean = () => true): number => {
  const concerned = listUnfinished().filter(({ socket }) => socket !== null && isConcerned(socket));
  concerned.forEach(resetResponse);
  return concerned.length;
};
