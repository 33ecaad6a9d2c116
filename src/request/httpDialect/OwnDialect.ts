import type { IncomingMessage, ServerResponse } from 'node:http';
import { ATTEMPT_HEADER, DEADLINE_HEADER, parseCount } from '../_lib/internalHeaders.js';
import { writeRefusal } from '../_lib/writeRefusal.js';
import readCredential from './readCredential.js';
import { ResponseKind, HttpDialect } from './HttpDialect.js';

import type { Refusal } from '../_lib/writeRefusal.js';
import type { CallerMetadata, RefusalOptions, ServerMetadata } from './HttpDialect.js';

/** Name of the workspace that sends a request, for the server. */
const WORKSPACE_HEADER = 'foxtailvane-workspace';
/** Authentication scheme of the keys of workspaces (RFC 6750). */
const KEY_SCHEME = 'bearer';

const readHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

/** The default headers and refusals, as described in `docs/interfaces.md`. */
export default class OwnDialect extends HttpDialect {
  /** Empty, since headers with the internal prefix are removed at every hop anyway. */
  override readonly reservedHeaders: ReadonlySet<string> = new Set();

  override readonly workspaceHeaders: ReadonlySet<string> = new Set(['authorization']);

  override readCallerMetadata(request: IncomingMessage): CallerMetadata {
    return {
      requestId: undefined,
      remainingMs: parseCount(readHeader(request, DEADLINE_HEADER)),
    };
  }

  override readCallerKey(request: IncomingMessage): string | undefined {
    return readCredential(request, KEY_SCHEME);
  }

  override writeRefusal(response: ServerResponse, refusal: Refusal, options: RefusalOptions): void {
    writeRefusal(response, refusal, options);
  }

  override createServerHeaders({ remainingMs, attempt, workspace }: ServerMetadata): string[] {
    const headers = [DEADLINE_HEADER, String(Math.max(0, Math.floor(remainingMs)))];
    if (workspace !== undefined) headers.push(WORKSPACE_HEADER, workspace);
    return attempt > 0 ? [...headers, ATTEMPT_HEADER, String(attempt)] : headers;
  }

  override classifyResponse(): ResponseKind {
    return ResponseKind.Answer;
  }

  /** Responses have no id, so they belong to the request that waits on their connection. */
  override hasOwnHints(): boolean {
    return true;
  }

  /** Servers state their limits and their state in their announcements only. */
  override readServerNotice(): undefined {
    return undefined;
  }
}
