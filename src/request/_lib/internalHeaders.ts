/** Internal headers between the entry node and the owner node, with their encodings. */

/** Describes a forwarded request to the owner node. */
export const CALL_HEADER = 'foxtailvane-call';
export const DEADLINE_HEADER = 'foxtailvane-deadline-ms';
/** Id of a slot grant that the owner node attaches to its response. */
export const GRANT_HEADER = 'foxtailvane-grant';
/** Requests a slot grant; sent for servers that accept direct connections. */
export const GRANT_WANTED_HEADER = 'foxtailvane-grant-wanted';
/** Ids of the grants to renew and to return; in the response, ids of the renewed grants. */
export const GRANT_UPDATE_HEADER = 'foxtailvane-loans';
/** Load of the server as the owner node counts it: share of slots in use, and slot hold time. */
export const LOAD_HEADER = 'foxtailvane-load';
/** Work at the server, and the cost of the answered request, as its node measured them. */
export const WORK_HEADER = 'foxtailvane-work';
/** Work at several servers, as the sender knows it. */
export const REPORTS_HEADER = 'foxtailvane-reports';
/** Requests per second that the server accepts, as the entry node read it from a response. */
export const LIMIT_HEADER = 'foxtailvane-limit';
/** Workspace and key that the entry node has admitted; absent on routes that need no key. */
export const KEY_HEADER = 'foxtailvane-key';
export const ATTEMPT_HEADER = 'foxtailvane-attempt';
/** Expected time until a slot is free, in milliseconds; sent with a refusal. */
export const RETRY_AFTER_HEADER = 'foxtailvane-retry-after-ms';

const CALL_FIELD_COUNT = 10;
const MAX_CACHED_ENCODINGS = 4_096;

/** Metadata of a forwarded request for the owner node. */
export interface ForwardedCall {
  serverId: string;
  routeName: string;
  isIdempotent: boolean;
  requestId: string;
  version: number;
  /** Node that received the request from the caller. */
  entryNodeId: string;
  /** Service on the VM of the entry node; empty when there is none. */
  callerService: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Time left to meet the target latency; 0 when the route has none. */
  objectiveMs: number;
  /** Whether the request probably repeats a refused one. */
  isReturn: boolean;
}

const encodings = new Map<string, string>();

/** Percent-encodes a name for a header field; caches results because names repeat. */
const encodeName = (name: string): string => {
  const known = encodings.get(name);
  if (known !== undefined) return known;
  if (encodings.size >= MAX_CACHED_ENCODINGS) encodings.clear();
  const encoded = encodeURIComponent(name);
  encodings.set(name, encoded);
  return encoded;
};

const decodeField = (text: string): string => {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
};

/** Formats the value of `CALL_HEADER`. */
export const formatCallHeader = (call: ForwardedCall): string =>
  `${encodeName(call.serverId)};${encodeName(call.routeName)};${call.isIdempotent ? 1 : 0};${encodeURIComponent(
    call.requestId,
  )};${call.version};${encodeName(call.entryNodeId)};${encodeName(call.callerService)};${call.priority};${
    call.objectiveMs
  };${call.isReturn ? 1 : 0}`;

/**
 * Parses a header value of 1 to 9 decimal digits.
 *
 * @param value - header value, if present
 * @returns the number, or undefined when the value is absent or malformed
 */
export const parseCount = (value: string | undefined): number | undefined =>
  value !== undefined && /^\d{1,9}$/.test(value) ? Number(value) : undefined;

/** A key that the entry node has admitted. */
export interface ForwardedKeyHeader {
  workspaceName: string;
  keyId: string;
  /** Time for which the entry node can accept the key without another confirmation. */
  proofLeftMs: number;
}

/** Formats the value of `KEY_HEADER`. */
export const formatKeyHeader = (key: ForwardedKeyHeader): string =>
  `${encodeName(key.workspaceName)};${key.keyId};${
    key.proofLeftMs === Infinity ? '' : Math.max(0, Math.floor(key.proofLeftMs))
  }`;

/** Parses the value of `KEY_HEADER`; undefined when it is absent or malformed. */
export const parseKeyHeader = (value: string | undefined): ForwardedKeyHeader | undefined => {
  const [name = '', keyId = '', leftText] = value?.split(';') ?? [];
  if (name === '' || keyId === '') return undefined;
  const proofLeftMs = leftText === '' ? Infinity : (parseCount(leftText) ?? 0);
  return { workspaceName: decodeField(name), keyId, proofLeftMs };
};

/**
 * Parses the value of `CALL_HEADER`.
 *
 * @param value - header value, if present
 * @returns the metadata, or undefined when the value is absent or malformed
 */
export const parseCallHeader = (value: string | undefined): ForwardedCall | undefined => {
  const parts = value?.split(';') ?? [];
  if (parts.length !== CALL_FIELD_COUNT) return undefined;
  const [serverId, routeName, idempotent, requestId, version, entryNodeId, ...rest] =
    parts.map(decodeField);
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

/**
 * Parses the value of `LIMIT_HEADER`.
 *
 * @param value - header value, if present
 * @returns requests per second, or undefined when the value is absent or malformed
 */
export const parseLimit = (value: string | undefined): number | undefined =>
  value !== undefined && /^\d{1,9}(\.\d{1,9})?$/.test(value) ? Number(value) : undefined;

/** Ids of the grants that an entry node renews and returns. */
export interface GrantUpdate {
  renewed: string[];
  returned: string[];
}

/** Formats the value of `GRANT_UPDATE_HEADER` in a request. */
export const formatGrantUpdate = ({ renewed, returned }: GrantUpdate): string =>
  `${renewed.join(',')};${returned.join(',')}`;

/** Parses a comma-separated list of grant ids. */
export const parseIds = (value: string): string[] => value.split(',').filter((id) => id !== '');

/** Parses the value of `GRANT_UPDATE_HEADER` in a request. */
export const parseGrantUpdate = (value: string): GrantUpdate => {
  const [renewed = '', returned = ''] = value.split(';');
  return { renewed: parseIds(renewed), returned: parseIds(returned) };
};

const LOAD_DIGITS = 2;
const LOAD_PATTERN = /^(\d{1,3}\.\d{1,4});(\d{1,7})$/;

/** Load of a server, as its owner node reports it. */
export interface LoadReport {
  /** Share of the slots in use, waiting requests included. */
  load: number;
  /** Estimated time for which a request holds a slot; 0 when unknown. */
  holdMs: number;
}

/** Formats the value of `LOAD_HEADER`. */
export const formatLoad = ({ load, holdMs }: LoadReport): string =>
  `${load.toFixed(LOAD_DIGITS)};${Math.round(holdMs)}`;

/**
 * Parses the value of `LOAD_HEADER`.
 *
 * @param value - header value, if present
 * @returns the report, or undefined when the value is absent or malformed
 */
export const parseLoad = (value: string | undefined): LoadReport | undefined => {
  const match = LOAD_PATTERN.exec(value ?? '');
  return match ? { load: Number(match[1]), holdMs: Number(match[2]) } : undefined;
};
