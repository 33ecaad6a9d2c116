/** Compares what callers received with what the workers answered. */
import { RequestEnd } from '../../stand-ins/keepingClient/index.js';
import type { KeptRequest, ReceivedResponse } from '../../stand-ins/keepingClient/index.js';
import type { WorkerAnswer } from './drawAnswer.js';

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const MAX_SHOWN_CHARACTERS = 1_600;
const HEXADECIMAL = 16;

/** Returns the value of a header; several are joined, so that they match nothing. */
const readHeader = ({ head }: ReceivedResponse, name: string): string | undefined => {
  const values = head
    .split('\r\n')
    .slice(1)
    .filter((line) => line.toLowerCase().startsWith(`${name}:`))
    .map((line) => line.slice(name.length + 1).trim());
  return values.length === 0 ? undefined : values.join(' and ');
};

const joinChunks = (bytes: string): string => {
  const sizeEnd = bytes.indexOf('\r\n');
  const size = Number.parseInt(bytes.slice(0, sizeEnd), HEXADECIMAL);
  if (size === 0) return '';
  const start = sizeEnd + 2;
  return bytes.slice(start, start + size) + joinChunks(bytes.slice(start + size + 2));
};

const readBody = (response: ReceivedResponse): string =>
  readHeader(response, 'transfer-encoding') === undefined
    ? response.framedBody
    : joinChunks(response.framedBody);

const findAnswerFaults = (
  { attemptId }: KeptRequest,
  response: ReceivedResponse,
  answers: WorkerAnswer[],
): string[] => {
  const { statusCode, head } = response;
  const stamp = readHeader(response, 'server-stamp');
  const isSuccess = statusCode >= FIRST_SUCCESS && statusCode < FIRST_REDIRECT;
  const id = readHeader(response, 'attempt-id');
  // A node without a configuration refuses requests without reading their ids.
  const isOwnRefusal = id === undefined && stamp === undefined && !isSuccess;
  const answer = answers.find((own) => own.stamp === stamp);
  const isKnown = answer !== undefined;
  return [
    ...(id === attemptId || isOwnRefusal ? [] : [`answer with the id ${id}`]),
    ...(isSuccess && stamp === undefined ? ['a success without a signature'] : []),
    ...(stamp !== undefined && !isKnown ? [`a signature made for another run: ${stamp}`] : []),
    ...(isKnown && !answer.status.startsWith(`${statusCode} `) ? ['another status'] : []),
    ...(isKnown && answer.body !== readBody(response) ? ['not the whole body'] : []),
    ...response.informational
      .filter((hints) => !hints.includes(`</${attemptId}.css>`))
      .map((hints) => `hints of another request: ${hints}`),
    ...(/HTTP\/1\.1/.test(head.slice(1)) ? ['a head within the head'] : []),
  ];
};

/**
 * Finds answers that are not the caller's own or not whole, promises that did not hold, and orders
 * that ran twice.
 *
 * @param sent - requests of all callers
 * @param unasked - responses to no request
 * @param answers - answers of all workers
 * @returns one line for each violation
 */
const findViolations = (
  sent: KeptRequest[],
  unasked: ReceivedResponse[],
  answers: WorkerAnswer[],
): string[] => {
  const byAttempt = new Map<string, WorkerAnswer[]>();
  answers.forEach((answer) =>
    byAttempt.set(answer.attemptId, [...(byAttempt.get(answer.attemptId) ?? []), answer]),
  );
  return [
    ...unasked.map(({ head }) => `an answer without a request: ${head}`),
    ...sent.flatMap((request) => {
      const { response, isOrder, end, statusCode = 0 } = request;
      const own = byAttempt.get(request.attemptId) ?? [];
      const runs = own.filter(({ isRun }) => isRun);
      const isRefused = end === RequestEnd.Answered && NOT_RUN_STATUSES.has(statusCode);
      const faults = [
        ...(response ? findAnswerFaults(request, response, own) : []),
        ...(isOrder && runs.length > 1 ? ['an order ran twice'] : []),
        ...(isRefused && runs.length > 0 ? ['a request answered as not run has run'] : []),
        ...(end === RequestEnd.GivenUp ? ['no answer on an open connection'] : []),
      ];
      const shown = JSON.stringify({ request, runs: own }).slice(0, MAX_SHOWN_CHARACTERS);
      return faults.map((fault) => `${fault}: ${shown}`);
    }),
  ];
};

export default findViolations;
