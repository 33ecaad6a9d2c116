/** HTTP client of the operator API that can fail over between control VMs. */
import { Agent, request } from 'undici';

/** Result of a single request to one control VM. */
export enum ExchangeOutcome {
  /** The control VM responded. */
  Answered = 'answered',
  /** The connection could not be established, so the request did not run. */
  NotSent = 'not-sent',
  /** The connection failed after the request may have arrived. */
  Lost = 'lost',
}

/** A request to one control VM and its response, if any. */
export interface Exchange {
  kind: ExchangeOutcome;
  /** `host:port` of the control VM. */
  control: string;
  /** HTTP status code; 0 without a response. */
  status: number;
  /** Parsed JSON body; undefined without a response or when it is not JSON. */
  body: unknown;
  /** Why there is no response; empty if there is one. */
  reason: string;
}

export interface OperatorClientOptions {
  /** `host:port` of `operator_listen` of the control VMs, in order of preference. */
  controls: string[];
  token: string;
  /** Time to wait for the response of one control VM, in milliseconds. */
  timeoutMs: number;
}

/** A request to the operator API. */
export interface OperatorRequest {
  method: 'GET' | 'POST';
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array | string;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** Error codes of failures that occur before any part of the request is sent. */
const NOT_SENT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const getErrorCode = (error: unknown): string => {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' ? code : '';
};

const parseBody = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Sends requests to the operator API of control VMs. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  readonly #agent: Agent;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
    this.#agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: options.timeoutMs,
      bodyTimeout: options.timeoutMs,
      pipelining: 0,
    });
  }

  get controls(): string[] {
    return this.#options.controls;
  }

  /**
   * Sends a request to one control VM, without retries.
   *
   * @param control - `host:port`
   * @param sent - the request
   * @returns the result; a failed connection is reported in it and does not throw
   */
  async send(control: string, sent: OperatorRequest): Promise<Exchange> {
    try {
      const response = await request(`http://${control}${sent.path}`, {
        method: sent.method,
        headers: { authorization: `Bearer ${this.#options.token}`, ...sent.headers },
        body: sent.body ?? null,
        dispatcher: this.#agent,
      });
      const body = parseBody(await response.body.text());
      return {
        kind: ExchangeOutcome.Answered,
        control,
        status: response.statusCode,
        body,
        reason: '',
      };
    } catch (error) {
      const kind = NOT_SENT_ERROR_CODES.has(getErrorCode(error))
        ? ExchangeOutcome.NotSent
        : ExchangeOutcome.Lost;
      const reason = error instanceof Error ? error.message : String(error);
      return { kind, control, status: 0, body: undefined, reason };
    }
  }

  /**
   * Gets a resource from the first control VM that responds without a server error.
   *
   * @param path - path of the resource
   * @returns the exchanges in order; the last one holds the response, if there is one
   */
  async get(path: string): Promise<Exchange[]> {
    return this.controls.reduce<Promise<Exchange[]>>(async (previous, control) => {
      const exchanges = await previous;
      const last = exchanges.at(-1);
      if (last?.kind === ExchangeOutcome.Answered && last.status < 500) return exchanges;
      return [...exchanges, await this.send(control, { method: 'GET', path })];
    }, Promise.resolve([]));
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
