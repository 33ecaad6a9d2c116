import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResponseHead } from '../../connection/UpstreamCall/index.js';
import type { ServerNotice } from '../../process/localServers/index.js';
import type { Refusal } from '../_lib/writeRefusal.js';

/** Request metadata from the headers of a caller. */
export interface CallerMetadata {
  /** Request id that the caller chose. */
  requestId: string | undefined;
  /** Time until the caller's deadline. */
  remainingMs: number | undefined;
}

/** Metadata that is sent to a backend server with a request. */
export interface ServerMetadata {
  requestId: string;
  serverId: string;
  /** Service whose node received the request. */
  callerService: string;
  remainingMs: number;
  /** Name of the workspace that sends the request, if any. */
  workspace?: string | undefined;
  /** 0 for a first attempt. */
  attempt: number;
}

/** Classification of a server's response by its head. */
export enum ResponseKind {
  /** A response to this request. */
  Answer = 'ANSWER',
  /** A statement of the server that it did not run the request. */
  NotRun = 'NOT_RUN',
  /** Has the id of another request. This kind and the next two leave the connection unusable. */
  AnotherId = 'ANOTHER_ID',
  /** Has no id, so it may be a response to any request. */
  NoId = 'NO_ID',
  /** Lacks the signature of a server, or has several. */
  Unsigned = 'UNSIGNED',
}

export interface RefusalOptions {
  /** Whether the connection is closed, because the rest of the request body is not read. */
  closesConnection: boolean;
  requestId?: string | undefined;
}

/** Headers and refusals that the callers and backend servers of one kind of deployment use. */
export abstract class HttpDialect {
  /** Lower-case names of headers that only nodes may set; those of callers are removed. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  /**
   * Lower-case names of headers that are removed, in addition, from the requests of callers where the
   * configuration has workspaces.
   */
  abstract readonly workspaceHeaders: ReadonlySet<string>;

  abstract readCallerMetadata(request: IncomingMessage): CallerMetadata;

  /** Returns the key that a caller presents; undefined when there is not exactly one. */
  abstract readCallerKey(request: IncomingMessage): string | undefined;

  /** Responds to a request that got no response from a server. */
  abstract writeRefusal(response: ServerResponse, refusal: Refusal, options: RefusalOptions): void;

  /** Returns alternating header names and values. */
  abstract createServerHeaders(facts: ServerMetadata): string[];

  abstract classifyResponse(head: ResponseHead, requestId: string): ResponseKind;

  /**
   * Returns whether early hints certainly belong to a request.
   *
   * @param headers - alternating names and values
   * @param requestId - id of the request that waits for its response
   */
  abstract hasOwnHints(headers: string[], requestId: string): boolean;

  /**
   * Returns what a server states about itself in a response; undefined when the response is not
   * certainly the selected server's response to this request.
   */
  abstract readServerNotice(head: ResponseHead, requestId: string): ServerNotice | undefined;
}
