/** What a faulty worker or caller sends without end, and how. */
import { drawInteger, drawOne } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';

/** How a connection ends after a number of bytes. */
export enum FloodEnd {
  Never = 'NEVER',
  InOrder = 'IN_ORDER',
  Reset = 'RESET',
}

/** Bytes without end. */
export interface Flood {
  /** Sent once. */
  start: string;
  /** Sent again and again, in segments. */
  part: Buffer;
  segmentBytes: number;
  paceMs: number;
  end: FloodEnd;
  /** Bytes after which the connection ends. */
  endAfterBytes: number;
}

const PART_BYTES = 16_384;
const FILLER = 'x'.repeat(PART_BYTES);
const CHUNK = `4000\r\n${FILLER}\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const FIELDS = 'x-more: value\r\n'.repeat(1_000);
const MAX_END_BYTES = 3_000_000;
/** Segments of one byte are drawn more often, since each costs most. */
const SEGMENT_BYTES = [1, 1, 100, 4_096, PART_BYTES, PART_BYTES];
const PACES_MS = [0, 0, 0, 1, 5];
const ENDS = [FloodEnd.Never, FloodEnd.Never, FloodEnd.InOrder, FloodEnd.Reset];

interface FloodBytes {
  start: string;
  part: string;
}

/** Formats what is sent in place of an answer; `id`: its fields with the id and the signature. */
type AnswerForm = (id: string) => FloodBytes;

const formatHead =
  (status: string, fields: string, part = FILLER): AnswerForm =>
  (id) => ({ start: `HTTP/1.1 ${status}\r\n${id}${fields}\r\n`, part });

const ANSWER_FORMS: Record<string, AnswerForm> = {
  statusLine: () => ({ start: 'HTTP/1.1 200 ', part: FILLER }),
  field: (id) => ({ start: `HTTP/1.1 200 OK\r\n${id}x: `, part: FILLER }),
  fields: (id) => ({ start: `HTTP/1.1 200 OK\r\n${id}`, part: FIELDS }),
  noStatus: formatHead('000 None', ''),
  earlyHints: (id) => ({
    start: '',
    part: `HTTP/1.1 103 Early Hints\r\n${id}Link: </style.css>; rel=preload\r\n\r\n`.repeat(100),
  }),
  processing: () => ({ start: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500) }),
  continues: () => ({ start: '', part: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(500) }),
  upgrade: formatHead('101 Switching Protocols', 'Upgrade: x\r\nConnection: upgrade\r\n'),
  emptyLines: () => ({ start: '', part: '\r\n'.repeat(PART_BYTES / 2) }),
  text: () => ({ start: '', part: FILLER }),
  zeroBytes: () => ({ start: '', part: '\0'.repeat(PART_BYTES) }),
  chunks: formatHead('200 OK', CHUNKED, CHUNK),
  shortChunks: formatHead('200 OK', CHUNKED, '1\r\nx\r\n'.repeat(2_000)),
  chunkSize: formatHead('200 OK', CHUNKED, '0'.repeat(PART_BYTES)),
  chunkExtension: (id) => ({
    start: `HTTP/1.1 200 OK\r\n${id}${CHUNKED}\r\n5;x=`,
    part: FILLER,
  }),
  longChunk: (id) => ({
    start: `HTTP/1.1 200 OK\r\n${id}${CHUNKED}\r\nffffffffff\r\n`,
    part: FILLER,
  }),
  trailers: (id) => ({
    start: `HTTP/1.1 200 OK\r\n${id}${CHUNKED}\r\n5\r\nabcde\r\n0\r\n`,
    part: FIELDS,
  }),
  unframed: formatHead('200 OK', ''),
  unframedFailure: formatHead('500 Failed', ''),
  shortLength: formatHead('200 OK', 'Content-Length: 5\r\n'),
  bufferedLength: formatHead('200 OK', 'Content-Length: 65000\r\n'),
  longLength: formatHead('200 OK', 'Content-Length: 1000000000000\r\n'),
  closingLength: formatHead('200 OK', 'Connection: close\r\nContent-Length: 90000000\r\n'),
  answers: (id) => ({
    start: '',
    part: `HTTP/1.1 200 OK\r\n${id}Content-Length: 5\r\n\r\nabcde`.repeat(100),
  }),
  refusal: formatHead('503 Busy', `Not-Executed: 1\r\n${CHUNKED}`, CHUNK),
  misdirected: formatHead('421 Misdirected', 'Content-Length: 100000000\r\n'),
  noContent: formatHead('204 No Content', ''),
  otherCoding: formatHead('200 OK', 'Transfer-Encoding: gzip\r\n'),
  earlierVersion: (id) => ({ start: `HTTP/1.0 200 OK\r\n${id}\r\n`, part: FILLER }),
};

/** What a caller sends behind the fields of its request. */
const REQUEST_FORMS: Record<string, FloodBytes> = {
  bufferedBody: { start: 'Content-Length: 65000\r\n\r\n', part: FILLER },
  longBody: { start: 'Content-Length: 60000000\r\n\r\n', part: FILLER },
  chunkedBody: { start: `${CHUNKED}\r\n`, part: CHUNK },
  shortChunkedBody: { start: `${CHUNKED}\r\n`, part: '1\r\nx\r\n'.repeat(2_000) },
  field: { start: 'x: ', part: FILLER },
  fields: { start: '', part: FIELDS },
};

const drawPace = (random: Random, { start, part }: FloodBytes): Flood => ({
  ...{ start, part: Buffer.from(part, 'latin1') },
  segmentBytes: drawOne(random, SEGMENT_BYTES),
  paceMs: drawOne(random, PACES_MS),
  end: drawOne(random, ENDS),
  endAfterBytes: drawInteger(random, 0, MAX_END_BYTES),
});

/**
 * Draws what a faulty worker sends in place of an answer.
 *
 * @param random - sequence of the worker
 * @param attemptId - id of the request
 */
export const drawAnswerFlood = (random: Random, attemptId: string): Flood => {
  const form = drawOne(random, Object.keys(ANSWER_FORMS));
  const format = ANSWER_FORMS[form] ?? formatHead('200 OK', '');
  const id = `Attempt-Id: ${attemptId}\r\nServer-Stamp: s.${attemptId}\r\n`;
  return drawPace(random, format(id));
};

/** Draws what a caller sends behind the first fields of an order. */
export const drawRequestFlood = (random: Random): Flood => {
  const form = drawOne(random, Object.keys(REQUEST_FORMS));
  return drawPace(random, REQUEST_FORMS[form] ?? { start: '\r\n', part: FILLER });
};
