import type { ServerResponse } from 'node:http';
import isLinkField from '../isLinkField/index.js';

/**
 * Writes a `103` response with the valid ones of some `Link` fields. `writeEarlyHints` of Node.js throws
 * on many that are valid.
 *
 * @param response - response whose turn it is on its connection, and whose head has not been written
 * @param links - values of `Link` fields, as latin1
 * @returns number of fields that were dropped because they are invalid
 */
const writeEarlyHints = (response: ServerResponse, links: string[]): number => {
  const valid = links.filter(isLinkField);
  const lines = ['HTTP/1.1 103 Early Hints', ...valid.map((link) => `Link: ${link}`), '', ''];
  if (valid.length > 0) response.socket?.write(lines.join('\r\n'), 'latin1');
  return links.length - valid.length;
};

export default writeEarlyHints;
