import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResponseHead } from '../../connection/UpstreamCall/index.js';
import type { Refusal } from '../_lib/writeRefusal.js';

/** What the headers of a caller say of its request. */
export interface CallerMetadata {
  /** The caller's own id of the request. */
  requestId: string | undefined;
  /** Time for which the caller still waits. */
  remainingMs: number | undefined;
}

/** What a backend server is told besides the request itself. */
export interface ServerMetadata {
  requestId: string;
  serverId: string;
  /** Service beside the node that received the request. */
  callerService: string;
  remainingMs: number;
  /** 0 for a first attempt. */
  attempt: number;
}

/** What the head of a server's response says. */
export enum ResponseKind {
  /** The response of the server to this request. */
  Answer = 'ANSWER',
  /** The server states that it did not run the request. */
  NotRun = 'NOT_RUN',
  /** Not a response to this request; the connection cannot be used any more. */
  Foreign = 'FOREIGN',
}

export interface RefusalOptions {
  /** The rest of the request body is not read. */
  closesConnection: boolean;
  requestId?: string | undefined;
}

/** How callers and backend servers of one kind of deployment are spoken to. */
export abstract class HttpDialect {
  /** Lower-case names of headers that only nodes may set; those of callers are dropped. */
  abstract readonly reservedHeaders: ReadonlySet<string>;

  abstract readCallerMetadata(request: IncomingMessage): CallerMetadata;

  /** Answers a request that got no response from a server. */
  abstract writeRefusal(response: ServerResponse, refusal: Refusal, options: RefusalOptions): void;

  /** Returns header names and values in turn. */
  abstract createServerHeaders(facts: ServerMetadata): string[];

  abstract classifyResponse(head: ResponseHead, requestId: string): ResponseKind;
}
