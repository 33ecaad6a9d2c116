import { Agent, request } from 'undici';

const DEFAULT_TIMEOUT_MS = 20_000;

/** Response of a control VM to an `apply`. */
export interface ApplyAnswer {
  /** HTTP status; 0 when the connection failed. */
  status: number;
  outcome: string;
  message: string;
  holder?: { version: number; operator: string; requestId: string; contentHash: string };
}

export interface NodeVersion {
  nodeId: string;
  dataCentre: string;
  version: number;
  inForceAtMs: number;
  isConnected: boolean;
  refusedVersion?: number;
  refusalReason?: string;
}

/** Fields of `GET /v1/status` that tests read. */
export interface ClusterStatus {
  accepted?: { version: number; acceptedAtMs: number; contentHash: string; operator: string };
  isConfirmed: boolean;
  leader?: string;
  members: { memberId: string; isVoter: boolean; role: string; diskIdentity: string }[];
  nodes: { total: number; connected: number; list: NodeVersion[] };
}

export interface ApplyOptions {
  requestId?: string;
  operator?: string;
  timeoutMs?: number;
}

let requestCount = 0;

/** Calls the operator API of one control VM. */
export class OperatorClient {
  readonly #baseUrl: string;

  readonly #authorization: string;

  readonly #agent = new Agent({ connections: 8 });

  /**
   * @param baseUrl - URL of `operator_listen`
   * @param token - bearer token of the operators
   */
  constructor(baseUrl: string, token: string) {
    this.#baseUrl = baseUrl;
    this.#authorization = `Bearer ${token}`;
  }

  /** Applies a sheet. Returns the outcome `NO_ANSWER` when the request fails or times out. */
  async apply(version: number, sheet: string, options: ApplyOptions = {}): Promise<ApplyAnswer> {
    requestCount += 1;
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    try {
      const response = await request(`${this.#baseUrl}/v1/versions/${version}`, {
        dispatcher: this.#agent,
        method: 'POST',
        headers: {
          authorization: this.#authorization,
          'content-type': 'text/csv',
          'foxtailvane-request-id': options.requestId ?? `apply-${process.pid}-${requestCount}`,
          'foxtailvane-operator': options.operator ?? 'tester',
        },
        body: sheet,
        signal: AbortSignal.timeout(timeoutMs),
      });
      const answer = (await response.body.json()) as ApplyAnswer;
      return { ...answer, status: response.statusCode };
    } catch (error) {
      return { status: 0, outcome: 'NO_ANSWER', message: String(error) };
    }
  }

  /**
   * Reads a JSON resource.
   *
   * @throws Error when the status is not 200
   */
  async read<Answer>(path: string): Promise<Answer> {
    const response = await request(`${this.#baseUrl}${path}`, {
      dispatcher: this.#agent,
      headers: { authorization: this.#authorization },
      signal: AbortSignal.timeout(DEFAULT_TIMEOUT_MS),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(`${path} returned status ${response.statusCode}`);
    }
    return (await response.body.json()) as Answer;
  }

  /** Reads `GET /metrics` and returns the value of each series. */
  async readMetrics(): Promise<Map<string, number>> {
    const response = await request(`${this.#baseUrl}/metrics`, {
      dispatcher: this.#agent,
      headers: { authorization: this.#authorization },
      signal: AbortSignal.timeout(DEFAULT_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return new Map(
      text
        .split('\n')
        .filter((line) => line.includes(' '))
        .map((line) => {
          const end = line.lastIndexOf(' ');
          return [line.slice(0, end), Number(line.slice(end + 1))];
        }),
    );
  }

  readStatus(): Promise<ClusterStatus> {
    return this.read('/v1/status');
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
