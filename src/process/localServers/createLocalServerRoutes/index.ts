import { Hono } from 'hono';

import { BodyRefusal, limitBodies } from '../../limitBodies/index.js';
import { AnnouncementErrorCode } from '../AnnouncementError/index.js';
import { parseAnnouncement } from '../_lib/parseAnnouncement.js';

import type { AnnouncementError } from '../AnnouncementError/index.js';
import type { LocalServers } from '../LocalServers/index.js';

const MAX_BODY_BYTES = 16_384;
/** Far above the announcements of the servers of a VM that arrive at the same time. */
const MAX_HELD_BYTES = 1_048_576;

const STATUS_BY_CODE = {
  [AnnouncementErrorCode.InvalidField]: 400,
  [AnnouncementErrorCode.UnknownServer]: 404,
  [AnnouncementErrorCode.TooManyServers]: 429,
  [AnnouncementErrorCode.NodeDraining]: 503,
} as const;

const STATUS_BY_REFUSAL = {
  [BodyRefusal.TooLarge]: 413,
  [BodyRefusal.TooManyBytes]: 503,
} as const;

const createErrorBody = (error: AnnouncementError) => ({
  code: error.code,
  message: error.message,
  ...(error.field === undefined ? {} : { field: error.field }),
});

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

export interface LocalServerRoutesOptions {
  /** Reads the clock, in milliseconds since the epoch. */
  getNowMs?: () => number;
}

/**
 * Creates the routes on which backend servers announce themselves; mounted on `local_listen`.
 *
 * @param localServers - receives the announcements
 * @param options - clock
 *
 * @example
 * const app = new Hono().route('/', createLocalServerRoutes(localServers));
 */
export const createLocalServerRoutes = (
  localServers: LocalServers,
  options: LocalServerRoutesOptions = {},
): Hono => {
  const getNowMs = options.getNowMs ?? Date.now;
  const app = new Hono();
  const limitBody = limitBodies({
    findMaxBytes: () => MAX_BODY_BYTES,
    maxHeldBytes: MAX_HELD_BYTES,
    refuse: (context, refusal) => context.body(null, STATUS_BY_REFUSAL[refusal]),
  });
  app.put('/v1/servers/:serverId', limitBody, async (context) => {
    const serverId = context.req.param('serverId');
    const result = parseAnnouncement(serverId, parseJson(await context.req.text())).andThen(
      (announcement) => localServers.announce(serverId, announcement, getNowMs()),
    );
    return result.match(
      () => context.json({ leaseMs: localServers.leaseMs }),
      (error) => context.json(createErrorBody(error), STATUS_BY_CODE[error.code]),
    );
  });
  app.delete('/v1/servers/:serverId', (context) =>
    localServers.withdraw(context.req.param('serverId')).match(
      () => context.body(null, 204),
      (error) => context.json(createErrorBody(error), STATUS_BY_CODE[error.code]),
    ),
  );
  return app;
};
