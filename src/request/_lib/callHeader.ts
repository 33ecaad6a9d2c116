/** Header in which the entry node tells the node beside the server what it forwards. */

export const CALL_HEADER = 'foxtailvane-call';
export const DEADLINE_HEADER = 'foxtailvane-deadline-ms';
/** Id of a slot that the node beside the server lends with its response. */
export const GRANT_HEADER = 'foxtailvane-grant';
/** Asks for a grant; sent when the entry node could use one. */
export const GRANT_WANTED_HEADER = 'foxtailvane-grant-wanted';
/** Grants to renew and to return; in the answer, the renewed ones. */
export const LOANS_HEADER = 'foxtailvane-loans';
/** Share of the slots of the server in use, as its node counts them. */
export const LOAD_HEADER = 'foxtailvane-load';
export const ATTEMPT_HEADER = 'foxtailvane-attempt';
/** Expected time until the server has room, in milliseconds; sent with a refusal. */
export const RETRY_AFTER_HEADER = 'foxtailvane-retry-after-ms';

const FIELD_COUNT = 10;
const MAX_CACHED_ENCODINGS = 4_096;

/** What a forwarded request carries for the node beside the server. */
export interface ForwardedCall {
  serverId: string;
  routeName: string;
  isIdempotent: boolean;
  requestId: string;
  version: number;
  /** Node that received the request from the caller. */
  entryNodeId: string;
  /** Service beside that node; empty when there is none. */
  callerService: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Time within which a response is of full use; 0 when unknown or past. */
  objectiveMs: number;
  /** Whether the caller was probably refused before. */
  isReturn: boolean;
}

const encodings = new Map<string, string>();

/** Encodes a name for a header field; names repeat, so results are kept. */
const encode = (name: string): string => {
  const known = encodings.get(name);
  if (known !== undefined) return known;
  if (encodings.size >= MAX_CACHED_ENCODINGS) encodings.clear();
  const encoded = encodeURIComponent(name);
  encodings.set(name, encoded);
  return encoded;
};

const decode = (text: string): string => {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};

export const formatCallHeader = (call: ForwardedCall): string =>
  `${encode(call.serverId)};${encode(call.routeName)};${call.isIdempotent ? 1 : 0};${encodeURIComponent(
    call.requestId,
  )};${call.version};${encode(call.entryNodeId)};${encode(call.callerService)};${call.priority};${
    call.objectiveMs
  };${call.isReturn ? 1 : 0}`;

/**
 * Reads a header that holds a whole number.
 *
 * @returns undefined when it is absent or not a whole number
 */
export const parseCount = (value: string | undefined): number | undefined =>
  value !== undefined && /^\d{1,9}$/.test(value) ? Number(value) : undefined;

/** Returns undefined when the header is absent or malformed. */
export const parseCallHeader = (value: string | undefined): ForwardedCall | undefined => {
  const parts = value?.split(';') ?? [];
  if (parts.length !== FIELD_COUNT) return undefined;
  const [serverId, routeName, idempotent, requestId, version, entryNodeId, ...rest] =
    parts.map(decode);
  const [callerService = '', priorityText, objectiveText, returnText] = rest;
  const priority = parseCount(priorityText);
  const objectiveMs = parseCount(objectiveText);
  if (!serverId || !requestId || !entryNodeId) return undefined;
  if (priority === undefined || objectiveMs === undefined) return undefined;
  return {
    serverId,
    routeName: routeName ?? '',
    isIdempotent: idempotent === '1',
    requestId,
    version: Number(version),
    entryNodeId,
    callerService,
    priority,
    objectiveMs,
    isReturn: returnText === '1',
  };
};

/** Grants by id, as a borrower reports them. */
export interface Loans {
  renewed: string[];
  returned: string[];
}

export const formatLoans = ({ renewed, returned }: Loans): string =>
  `${renewed.join(',')};${returned.join(',')}`;

export const parseIds = (value: string): string[] => value.split(',').filter((id) => id !== '');

export const parseLoans = (value: string): Loans => {
  const [renewed = '', returned = ''] = value.split(';');
  return { renewed: parseIds(renewed), returned: parseIds(returned) };
};

const LOAD_DIGITS = 2;
const LOAD_PATTERN = /^(\d{1,3}\.\d{1,4});(\d{1,7})$/;

/** What a node reports of a server beside it. */
export interface LoadReport {
  /** Share of the slots in use, waiting requests included. */
  load: number;
  /** Time for which a slot is held; 0 when unknown. */
  holdMs: number;
}

export const formatLoad = ({ load, holdMs }: LoadReport): string =>
  `${load.toFixed(LOAD_DIGITS)};${Math.round(holdMs)}`;

/** Returns the report, or undefined when the header is absent or malformed. */
export const parseLoad = (value: string | undefined): LoadReport | undefined => {
  const match = LOAD_PATTERN.exec(value ?? '');
  return match ? { load: Number(match[1]), holdMs: Number(match[2]) } : undefined;
};
