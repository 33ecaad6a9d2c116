/** Selects the headers that are forwarded to the next hop. */

/** Prefix of the headers that are exchanged between nodes. */
export const INTERNAL_PREFIX = 'foxtailvane-';

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'transfer-encoding',
  'upgrade',
]);

/** Request headers that this node handles itself. */
const LOCAL_REQUEST_HEADERS = new Set(['expect', 'trailer', 'http2-settings']);

/**
 * Response headers that this node handles itself. Node.js refuses to write a head with a Trailer field
 * unless the body is sent in chunks; the trailers themselves are passed on without it.
 */
const LOCAL_RESPONSE_HEADERS = new Set(['trailer']);

/** Headers that a message needs; they are kept even if a Connection header names them. */
const REQUIRED_HEADERS = new Set(['host', 'content-length', 'idempotency-key', 'authorization']);

const parseConnectionTokens = (value: string): string[] =>
  value
    .toLowerCase()
    .split(',')
    .map((token) => token.trim())
    .filter((token) => token !== '' && !REQUIRED_HEADERS.has(token));

/** Headers of one message, separated into forwarded and internal ones. */
export interface CopiedHeaders {
  /** Alternating names and values, for the next hop. */
  headers: string[];
  /** Values of the internal headers by lower-case name; undefined when there are none. */
  internal: Map<string, string> | undefined;
}

interface CopyOptions {
  isRequest: boolean;
  dropped?: ReadonlySet<string>;
}

const isDropped = (name: string, { isRequest, dropped }: CopyOptions): boolean =>
  (isRequest ? LOCAL_REQUEST_HEADERS : LOCAL_RESPONSE_HEADERS).has(name) ||
  dropped?.has(name) === true;

const hasHeaderNames = (name: string, value: string): boolean =>
  name === 'connection' && value !== 'close' && value !== 'keep-alive';

/**
 * Copies the headers to forward to the next hop.
 *
 * @param raw - alternating names and values
 * @param options - `isRequest`: drops `expect` and `trailer` too; `dropped`: further lower-case names
 *   to drop
 * @returns the headers to forward and, separately, the internal headers
 */
export const copyHeaders = (raw: string[], options: CopyOptions): CopiedHeaders => {
  const headers: string[] = [];
  const connectionTokens: string[] = [];
  let internal: Map<string, string> | undefined;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const line = raw[index] ?? '';
    const value = raw[index + 1] ?? '';
    const name = line.toLowerCase();
    if (HOP_BY_HOP.has(name)) {
      if (hasHeaderNames(name, value)) connectionTokens.push(...parseConnectionTokens(value));
    } else if (name.startsWith(INTERNAL_PREFIX)) {
      internal ??= new Map();
      internal.set(name, value);
    } else if (!isDropped(name, options)) {
      headers.push(line, value);
    }
  }
  if (connectionTokens.length === 0) return { headers, internal };
  const named = new Set(connectionTokens);
  const kept = headers.filter(
    (_, index) => !named.has((headers[index - (index % 2)] ?? '').toLowerCase()),
  );
  return { headers: kept, internal };
};
