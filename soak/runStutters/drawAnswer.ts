/** Answers of a faulty worker, and what it writes again of them. */
import { drawInteger, drawOne } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** How the end of an answer is marked. */
export enum Framing {
  Length = 'LENGTH',
  Chunks = 'CHUNKS',
  /** The answer ends with its connection. */
  None = 'NONE',
}

/** Bytes after or within the answers of a worker that belong to no request. */
export enum SecondAnswer {
  Same = 'SAME',
  WithoutId = 'WITHOUT_ID',
  WithoutSignature = 'WITHOUT_SIGNATURE',
  WithoutBoth = 'WITHOUT_BOTH',
  /** Breaks off within its body. */
  Cut = 'CUT',
  Chunked = 'CHUNKED',
  WithoutLength = 'WITHOUT_LENGTH',
  FailureWithoutId = 'FAILURE_WITHOUT_ID',
  NotFoundWithoutBoth = 'NOT_FOUND_WITHOUT_BOTH',
  Full = 'FULL',
  FullWithoutId = 'FULL_WITHOUT_ID',
  Misdirected = 'MISDIRECTED',
  Hints = 'HINTS',
  HintsWithoutId = 'HINTS_WITHOUT_ID',
  NoAnswer = 'NO_ANSWER',
}

/** When the second answer is written. */
export enum Moment {
  SameSegment = 'SAME_SEGMENT',
  RightAfter = 'RIGHT_AFTER',
  Later = 'LATER',
  NextRequest = 'NEXT_REQUEST',
  NextAnswer = 'NEXT_ANSWER',
  WithinNextHead = 'WITHIN_NEXT_HEAD',
  WithinNextBody = 'WITHIN_NEXT_BODY',
}

/** An answer of a worker, as it was written for one run of a request. */
export interface WorkerAnswer {
  attemptId: string;
  stamp: string;
  /** Status line without the version. */
  status: string;
  body: string;
  framing: Framing;
  /** Whether the worker ran the request. */
  isRun: boolean;
}

const STATUS_DRAWS = 20;
const FAILURES = ['500 Internal Server Error', '404 Not Found', '504 Gateway Timeout'];
const REFUSALS = ['503 Service Unavailable', '421 Misdirected Request'];
/** Above the size up to which nodes hold a response until it is complete. */
const LONG_BODY_BYTES = 100_000;
const SHORT_BODY_BYTES = 300;
const NOT_EXECUTED = 'Not-Executed: 1\r\n';

const drawStatus = (random: Random): { status: string; isRun: boolean } => {
  const draw = drawInteger(random, 1, STATUS_DRAWS);
  if (draw === 1) return { status: drawOne(random, FAILURES), isRun: true };
  if (draw === 2) return { status: drawOne(random, REFUSALS), isRun: false };
  return { status: '200 OK', isRun: true };
};

/**
 * Draws the answer to one run of a request.
 *
 * @param random - sequence of the worker
 * @param attemptId - id of the request
 * @param runName - unique name of the run, part of the signature and of the body
 */
export const drawAnswer = (random: Random, attemptId: string, runName: string): WorkerAnswer => {
  const { status, isRun } = drawStatus(random);
  const framing = drawOne(random, [
    ...[Framing.Length, Framing.Length, Framing.Length],
    ...[Framing.Chunks, Framing.Chunks, Framing.None],
  ]);
  const isLong = framing !== Framing.None && random() < 1 / STATUS_DRAWS;
  const text = `${runName} answers ${attemptId}; `;
  const sizeBytes = isLong ? LONG_BODY_BYTES : drawInteger(random, 0, SHORT_BODY_BYTES);
  return {
    ...{ attemptId, status, isRun, framing, stamp: `s.${runName}` },
    body: text + '.'.repeat(sizeBytes),
  };
};

const formatBody = (body: string, framing: Framing): string => {
  if (framing === Framing.Length) return `Content-Length: ${body.length}\r\n\r\n${body}`;
  if (framing === Framing.None) return `Connection: close\r\n\r\n${body}`;
  const half = Math.floor(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)].filter((part) => part !== '');
  const formatted = chunks.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`);
  return `Transfer-Encoding: chunked\r\n\r\n${formatted.join('')}0\r\n\r\n`;
};

const createIdLine = (attemptId: string): string => `Attempt-Id: ${attemptId}\r\n`;

/** Formats an answer as it goes over the wire. */
export const formatAnswer = (answer: WorkerAnswer): string =>
  `HTTP/1.1 ${answer.status}\r\n${createIdLine(answer.attemptId)}${
    answer.isRun ? `Server-Stamp: ${answer.stamp}\r\n` : NOT_EXECUTED
  }${formatBody(answer.body, answer.framing)}`;

/** Formats early hints that name their request. */
export const formatHints = (attemptId: string, idLine = createIdLine(attemptId)): string =>
  `HTTP/1.1 103 Early Hints\r\nLink: </${attemptId}.css>; rel=preload\r\n${idLine}\r\n`;

const SECOND_STATUS: Partial<Record<SecondAnswer, string>> = {
  [SecondAnswer.FailureWithoutId]: '500 Internal Server Error',
  [SecondAnswer.NotFoundWithoutBoth]: '404 Not Found',
  [SecondAnswer.Full]: '503 Service Unavailable',
  [SecondAnswer.FullWithoutId]: '503 Service Unavailable',
  [SecondAnswer.Misdirected]: '421 Misdirected Request',
};

const WITHOUT_ID = new Set([
  ...[SecondAnswer.WithoutId, SecondAnswer.WithoutBoth, SecondAnswer.FailureWithoutId],
  ...[SecondAnswer.NotFoundWithoutBoth, SecondAnswer.FullWithoutId],
]);

const WITHOUT_SIGNATURE = new Set([
  ...[SecondAnswer.WithoutSignature, SecondAnswer.WithoutBoth, SecondAnswer.NotFoundWithoutBoth],
  ...[SecondAnswer.Full, SecondAnswer.FullWithoutId, SecondAnswer.Misdirected],
]);

const SECOND_FRAMING: Partial<Record<SecondAnswer, Framing>> = {
  [SecondAnswer.Chunked]: Framing.Chunks,
  [SecondAnswer.WithoutLength]: Framing.None,
};

/**
 * Formats what a faulty worker writes again of an answer.
 *
 * @param answer - answer to the former request
 * @param form - how the second answer differs from it
 */
export const formatSecondAnswer = (answer: WorkerAnswer, form: SecondAnswer): string => {
  const { attemptId, stamp } = answer;
  if (form === SecondAnswer.NoAnswer) return 'the rest of something else\r\n\r\n';
  if (form === SecondAnswer.Hints) return formatHints(attemptId);
  if (form === SecondAnswer.HintsWithoutId) return formatHints(attemptId, '');
  const isFull = form === SecondAnswer.Full || form === SecondAnswer.FullWithoutId;
  const framing = SECOND_FRAMING[form] ?? answer.framing;
  const bytes = `HTTP/1.1 ${SECOND_STATUS[form] ?? answer.status}\r\n${
    WITHOUT_ID.has(form) ? '' : createIdLine(attemptId)
  }${WITHOUT_SIGNATURE.has(form) ? '' : `Server-Stamp: ${stamp}\r\n`}${
    isFull ? NOT_EXECUTED : ''
  }${formatBody(answer.body, framing)}`;
  return form === SecondAnswer.Cut ? bytes.slice(0, -Math.ceil(answer.body.length / 2)) : bytes;
};

/** Returns whether a second answer has a header by which a head that contains it can be told. */
export const isTraceable = (form: SecondAnswer): boolean =>
  form !== SecondAnswer.NoAnswer &&
  form !== SecondAnswer.HintsWithoutId &&
  !(WITHOUT_ID.has(form) && WITHOUT_SIGNATURE.has(form));
