import CommandError from '../CommandError.js';
import ExitCode from '../ExitCode.js';
import { ExchangeOutcome } from './OperatorClient.js';

import type { Exchange, OperatorClient } from './OperatorClient.js';

const HTTP_OK = 200;

/** Formats a failed exchange as one line. */
export const describeExchange = (exchange: Exchange): string => {
  if (exchange.kind !== ExchangeOutcome.Answered) return `${exchange.control}: ${exchange.reason}`;
  const { message } = (exchange.body ?? {}) as { message?: unknown };
  const detail = typeof message === 'string' ? message : 'unexpected response';
  return `${exchange.control}: HTTP ${exchange.status}: ${detail}`;
};

/**
 * Gets a resource of the operator API from the first control VM that responds.
 *
 * @param client - client of the control VMs
 * @param path - path of the resource
 * @returns the response body
 * @throws CommandError with one line per control VM if none returns the resource
 */
export const fetchResource = async <Answer>(
  client: OperatorClient,
  path: string,
): Promise<Answer> => {
  const exchanges = await client.get(path);
  const last = exchanges.at(-1);
  if (last?.status === HTTP_OK && last.body !== undefined) return last.body as Answer;
  throw new CommandError(ExitCode.Refused, exchanges.map(describeExchange));
};
