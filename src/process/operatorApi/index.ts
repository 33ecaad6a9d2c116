/** The HTTP API of a control VM for operators, served on `operator_listen`. */
import { randomUUID } from 'node:crypto';

import { toJson } from '@bufbuild/protobuf';
import { getConnInfo } from '@hono/node-server/conninfo';
import { Hono } from 'hono';

import type { Context, MiddlewareHandler } from 'hono';
import { ConfigurationSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { MAX_SHEET_BYTES } from '../../version/parseSheet/index.js';
import { BodyRefusal, limitBodies } from '../limitBodies/index.js';
import { createLogger } from '../log/index.js';
import memoizeLatest from '../memoizeLatest/index.js';
import respondWithBytes from '../respondWithBytes/index.js';
import { ApplyOutcome } from '../replication/ControlLog/index.js';
import applySheet from './_lib/applySheet.js';
import buildStatus from './_lib/buildStatus.js';
import checkToken from './_lib/checkToken.js';
import listServers from './_lib/listServers.js';
import RateLimiter from './_lib/RateLimiter.js';
import {
  READ_TIMEOUT_MS,
  STATUS_BY_ROLLOUT_OUTCOME,
  orderRollout,
  parseRolloutOrder,
  toListedRollout,
} from './_lib/rolloutRoutes.js';
import { ApiErrorCode, RequestExecution } from './types.js';

import type { NodeRecord } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { NodeStatus } from '../nodeStatus/types.js';
import type { MetricsRegistry } from '../metrics/index.js';
import type { WorkspaceStatus } from '../quotas/ShareComputer/index.js';
import type { CommittedConfiguration, ControlLog } from '../replication/ControlLog/index.js';
import type { RateLimiterOptions } from './_lib/RateLimiter.js';
import type { ApiErrorResponse } from './types.js';

export { ApiErrorCode, RequestExecution } from './types.js';
export type {
  ApiErrorResponse,
  ApplyResponse,
  ConvergenceStatus,
  ListedRollout,
  ListedServer,
  RolloutResponse,
  StatusResponse,
  VersionCount,
} from './types.js';

/** Result of a membership change. */
export interface MembershipResult {
  ran: RequestExecution;
  /** One sentence shown to the operator. */
  message: string;
}

/** A control VM to add. */
export interface NewMember {
  memberId: string;
  dataCentre: string;
  /** `IP:port` of its `listen`. */
  address: string;
}

export interface OperatorApiOptions {
  log: ControlLog;
  /** Returns the nodes known to any reachable control VM. */
  readNodes: () => Promise<NodeStatus[]>;
  /**
   * Names of the control VMs that this one can reach, itself included. If omitted, reachability is
   * taken from the replicated log, which tracks it only on the leader.
   */
  listReachableMembers?: () => string[];
  /** Returns the node records in the endpoint directory of this control VM. */
  listNodeRecords: () => NodeRecord[];
  /** Returns the use of each quota; an empty list if omitted. */
  listWorkspaces?: () => WorkspaceStatus[];
  metrics: MetricsRegistry;
  /** Bearer token that requests must carry. */
  token: string;
  nowMs: () => number;
  /** Adds a control VM. Without it, `POST /v1/members/add` responds with 404. */
  addMember?: (member: NewMember, nowMs: number) => Promise<MembershipResult>;
  /** Removes a control VM. Without it, `POST /v1/members/remove` responds with 404. */
  removeMember?: (memberId: string, nowMs: number) => Promise<MembershipResult>;
  /** Whether operators may order roll-outs. Without it, `/v1/rollouts` responds with 404. */
  hasRollouts?: boolean;
  rateLimit?: RateLimiterOptions;
}

/** Several large sheets at a time; parsed ones take a multiple of it. */
const MAX_HELD_BYTES = 8 * MAX_SHEET_BYTES;

const REQUEST_ID_HEADER = 'foxtailvane-request-id';
const OPERATOR_HEADER = 'foxtailvane-operator';
const DEFAULT_OPERATOR = 'operator';
const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._@-]{0,127}$/;
const VERSION_PATTERN = /^[1-9][0-9]{0,9}$/;
const MAX_VERSION = 4_294_967_295;
const RETRY_AFTER_SECONDS = '1';

/** Far above a dashboard and a few operators, but low enough to slow down token guessing. */
const DEFAULT_RATE_LIMIT: RateLimiterOptions = { requestsPerSecond: 200, burst: 400 };

const STATUS_BY_OUTCOME = {
  [ApplyOutcome.Accepted]: 200,
  [ApplyOutcome.AlreadyAccepted]: 200,
  [ApplyOutcome.Conflict]: 409,
  [ApplyOutcome.Stale]: 409,
  [ApplyOutcome.BaseMismatch]: 409,
  [ApplyOutcome.Invalid]: 422,
  [ApplyOutcome.Unavailable]: 503,
  [ApplyOutcome.Unknown]: 504,
} as const;

const STATUS_BY_EXECUTION = {
  [RequestExecution.Executed]: 200,
  [RequestExecution.NotExecuted]: 409,
  [RequestExecution.Unknown]: 504,
} as const;

const STATUS_BY_ERROR_CODE = {
  [ApiErrorCode.Unauthorized]: 401,
  [ApiErrorCode.RateLimited]: 429,
  [ApiErrorCode.BodyTooLarge]: 413,
  [ApiErrorCode.BadRequest]: 400,
  [ApiErrorCode.NotFound]: 404,
  [ApiErrorCode.Unavailable]: 503,
  [ApiErrorCode.Unknown]: 500,
} as const;

const logger = createLogger('operator-api');

const respondWithError = (context: Context, code: ApiErrorCode, message: string) => {
  const ran =
    code === ApiErrorCode.Unknown ? RequestExecution.Unknown : RequestExecution.NotExecuted;
  const response: ApiErrorResponse = { code, ran, message };
  return context.json(response, STATUS_BY_ERROR_CODE[code]);
};

/** Returns an empty address without a connection, as in tests; such requests share one bucket. */
const getClientAddress = (context: Context): string => {
  try {
    return getConnInfo(context).remote.address ?? '';
  } catch {
    return '';
  }
};

const createRateLimitMiddleware = (options: OperatorApiOptions): MiddlewareHandler => {
  const limiter = new RateLimiter(options.rateLimit ?? DEFAULT_RATE_LIMIT);
  return async (context, next) => {
    if (limiter.tryAcquire(getClientAddress(context), options.nowMs())) return next();
    context.header('Retry-After', RETRY_AFTER_SECONDS);
    return respondWithError(
      context,
      ApiErrorCode.RateLimited,
      'too many requests from this address',
    );
  };
};

const createAuthorizationMiddleware =
  (options: OperatorApiOptions): MiddlewareHandler =>
  async (context, next) => {
    if (checkToken(context.req.header('authorization'), options.token)) return next();
    context.header('WWW-Authenticate', 'Bearer');
    return respondWithError(context, ApiErrorCode.Unauthorized, 'a valid bearer token is required');
  };

const refuseBody = (context: Context, refusal: BodyRefusal) => {
  if (refusal === BodyRefusal.TooLarge) {
    const message = `the body is larger than ${MAX_SHEET_BYTES} bytes; nothing was applied`;
    return respondWithError(context, ApiErrorCode.BodyTooLarge, message);
  }
  const message = 'too many requests with large bodies at the same time; nothing was applied';
  return respondWithError(context, ApiErrorCode.Unavailable, message);
};

const parseVersion = (text: string): number | undefined => {
  const isVersion = VERSION_PATTERN.test(text) && Number(text) <= MAX_VERSION;
  return isVersion ? Number(text) : undefined;
};

const createApplyHandler = (options: OperatorApiOptions) => async (context: Context) => {
  const version = parseVersion(context.req.param('number') ?? '');
  const requestId = context.req.header(REQUEST_ID_HEADER) ?? '';
  const operator = context.req.header(OPERATOR_HEADER) ?? DEFAULT_OPERATOR;
  if (version === undefined) {
    const message = `the version must be a whole number from 1 to ${MAX_VERSION}`;
    return respondWithError(context, ApiErrorCode.BadRequest, message);
  }
  if (!IDENTIFIER_PATTERN.test(requestId) || !IDENTIFIER_PATTERN.test(operator)) {
    const message =
      `${REQUEST_ID_HEADER} is required, and it and ${OPERATOR_HEADER} must be 1 to 128 ` +
      'letters, digits, ".", "_", "@" or "-"';
    return respondWithError(context, ApiErrorCode.BadRequest, message);
  }
  const sheet = new Uint8Array(await context.req.arrayBuffer());
  const request = { version, requestId, operator, sheet };
  const response = await applySheet(options.log, request, options.nowMs());
  if (response.outcome === ApplyOutcome.Unavailable) {
    context.header('Retry-After', RETRY_AFTER_SECONDS);
  }
  return context.json(response, STATUS_BY_OUTCOME[response.outcome]);
};

const createRolloutHandler = (options: OperatorApiOptions) => async (context: Context) => {
  const service = context.req.param('service') ?? '';
  const requestId = context.req.header(REQUEST_ID_HEADER) ?? '';
  const operator = context.req.header(OPERATOR_HEADER) ?? DEFAULT_OPERATOR;
  const order = parseRolloutOrder(await context.req.text());
  if (!order || !IDENTIFIER_PATTERN.test(requestId) || !IDENTIFIER_PATTERN.test(operator)) {
    const message =
      `the body must be JSON with targetVersion and durationMs, and ${REQUEST_ID_HEADER} must be 1 to ` +
      '128 letters, digits, ".", "_", "@" or "-"';
    return respondWithError(context, ApiErrorCode.BadRequest, message);
  }
  const fields = { service, requestId, operator };
  const response = await orderRollout(options.log, fields, order, Date.now());
  return context.json(response, STATUS_BY_ROLLOUT_OUTCOME[response.outcome]);
};

const createRolloutListHandler = (options: OperatorApiOptions) => async (context: Context) => {
  const read = await options.log.readRollouts(READ_TIMEOUT_MS);
  if (read.isErr()) {
    logger.warn({ reason: read.error.message }, 'read of roll-outs refused');
    return respondWithError(context, ApiErrorCode.Unavailable, read.error.message);
  }
  return context.json(read.value.map(toListedRollout));
};

const createConfigurationHandler = (options: OperatorApiOptions) => {
  const encodeOnce = memoizeLatest(({ holder, configuration }: CommittedConfiguration) =>
    Buffer.from(
      JSON.stringify({ holder, configuration: toJson(ConfigurationSchema, configuration) }),
    ),
  );
  return (context: Context) => {
    const committed = options.log.committed();
    if (!committed) {
      return respondWithError(context, ApiErrorCode.NotFound, 'no version has been accepted yet');
    }
    const contentType = 'application/json';
    return respondWithBytes(context, encodeOnce(committed), { statusCode: 200, contentType });
  };
};

const respondWithMembershipResult = (context: Context, result: MembershipResult) =>
  context.json(result, STATUS_BY_EXECUTION[result.ran]);

const parseMember = async (context: Context): Promise<NewMember | undefined> => {
  try {
    const body = await context.req.json<Partial<NewMember>>();
    const { memberId, dataCentre, address } = body;
    const isComplete = [memberId, dataCentre, address].every(
      (value) => typeof value === 'string' && value !== '',
    );
    return isComplete ? (body as NewMember) : undefined;
  } catch {
    return undefined;
  }
};

const addMemberRoutes = (app: Hono, options: OperatorApiOptions): void => {
  const { addMember, removeMember } = options;
  app.post('/v1/members/add', async (context) => {
    if (!addMember) return context.notFound();
    const member = await parseMember(context);
    if (!member) {
      const message = 'the body must be JSON with memberId, dataCentre and address';
      return respondWithError(context, ApiErrorCode.BadRequest, message);
    }
    return respondWithMembershipResult(context, await addMember(member, options.nowMs()));
  });
  app.post('/v1/members/remove', async (context) => {
    if (!removeMember) return context.notFound();
    const body = await context.req.json<{ memberId?: unknown }>().catch(() => undefined);
    if (typeof body?.memberId !== 'string' || body.memberId === '') {
      const message = 'the body must be JSON with memberId';
      return respondWithError(context, ApiErrorCode.BadRequest, message);
    }
    return respondWithMembershipResult(context, await removeMember(body.memberId, options.nowMs()));
  });
};

const addReadRoutes = (app: Hono, options: OperatorApiOptions): void => {
  const { log, metrics, nowMs } = options;
  app.get('/v1/status', async (context) =>
    context.json(
      buildStatus(log, await options.readNodes(), nowMs(), options.listReachableMembers?.()),
    ),
  );
  app.get('/v1/servers', (context) => context.json(listServers(options.listNodeRecords())));
  app.get('/v1/workspaces', (context) => context.json(options.listWorkspaces?.() ?? []));
  app.get('/v1/history', (context) => context.json(log.history()));
  app.get('/v1/configuration', createConfigurationHandler(options));
  app.get('/metrics', (context) => context.text(metrics.render()));
};

const addErrorHandlers = (app: Hono): void => {
  app.notFound((context) => respondWithError(context, ApiErrorCode.NotFound, 'no such resource'));
  app.onError((error, context) => {
    const errorId = randomUUID();
    logger.error({ errorId, path: context.req.path, reason: error.message }, 'request failed');
    // The error message may contain sensitive data, so it is only logged.
    return respondWithError(context, ApiErrorCode.Unknown, `internal error ${errorId}`);
  });
};

/**
 * Creates the operator API.
 *
 * @param options - the components of the control VM that the API reads and changes
 * @returns a hono app, to be served on `operator_listen`
 *
 * @example
 * serve({ fetch: createOperatorApi(options).fetch, hostname: '127.0.0.1', port: 7401 });
 */
export const createOperatorApi = (options: OperatorApiOptions): Hono => {
  const app = new Hono();
  app.use(createRateLimitMiddleware(options));
  app.get('/healthz', (context) => context.text('ok\n'));
  app.use(createAuthorizationMiddleware(options));
  app.use(
    limitBodies({
      findMaxBytes: () => MAX_SHEET_BYTES,
      maxHeldBytes: MAX_HELD_BYTES,
      refuse: refuseBody,
    }),
  );
  app.post('/v1/versions/:number', createApplyHandler(options));
  addReadRoutes(app, options);
  addMemberRoutes(app, options);
  if (options.hasRollouts === true) {
    app.get('/v1/rollouts', createRolloutListHandler(options));
    app.post('/v1/rollouts/:service', createRolloutHandler(options));
  }
  addErrorHandlers(app);
  return app;
};
