import type { IncomingMessage } from 'node:http';

/** Host and path of a request, by which its route is matched. */
export interface RequestTarget {
  /** Lower case, without port. */
  host: string;
  /** Without query. */
  path: string;
  pathWithQuery: string;
}

const parseHost = (authority: string): string => {
  const end = authority.startsWith('[') ? authority.indexOf(']') + 1 : authority.indexOf(':');
  return (end > 0 ? authority.slice(0, end) : authority).toLowerCase();
};

const hasSingleHost = (raw: string[]): boolean =>
  raw.filter((name, index) => index % 2 === 0 && name.toLowerCase() === 'host').length === 1;

/**
 * Parses the target of a request in origin form or absolute form.
 *
 * @param request - incoming request
 * @returns the target, or undefined when it is malformed or there is not exactly one Host header
 */
export const parseTarget = (request: IncomingMessage): RequestTarget | undefined => {
  const url = request.url ?? '';
  if (!hasSingleHost(request.rawHeaders)) return undefined;
  const isAbsolute = /^https?:\/\//i.test(url);
  if (!isAbsolute && !url.startsWith('/')) return undefined;
  const rest = isAbsolute ? url.replace(/^https?:\/\//i, '') : '';
  const slash = rest.indexOf('/');
  const authority = isAbsolute
    ? rest.slice(0, slash < 0 ? undefined : slash)
    : (request.headers.host ?? '');
  const pathWithQuery = isAbsolute ? rest.slice(slash < 0 ? rest.length : slash) || '/' : url;
  const query = pathWithQuery.indexOf('?');
  const path = query < 0 ? pathWithQuery : pathWithQuery.slice(0, query);
  return { host: parseHost(authority), path, pathWithQuery };
};
