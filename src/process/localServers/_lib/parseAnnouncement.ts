import { err, ok } from 'neverthrow';
import * as v from 'valibot';

import type { Result } from 'neverthrow';
import { AnnouncementError, AnnouncementErrorCode } from '../AnnouncementError/index.js';

const MAX_NAME_LENGTH = 128;
const MAX_SLOTS = 10_000;
const MAX_CONNECTIONS = 100_000;
const MAX_PORT = 65_535;
/** Later start times are no times of day; one would make all later announcements seem outdated. */
const MAX_BORN_AT_MS = Date.UTC(2100, 0);

/** State in the announcement of a backend server. */
export enum AnnouncedState {
  Starting = 'starting',
  Serving = 'serving',
  Draining = 'draining',
}

const nameSchema = v.pipe(
  v.string('must be a string'),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must consist of letters, digits, ".", "_" and "-"'),
  v.maxLength(MAX_NAME_LENGTH, `must have at most ${MAX_NAME_LENGTH} characters`),
);

const isPort = (text: string): boolean =>
  /^\d{1,5}$/.test(text) && Number(text) > 0 && Number(text) <= MAX_PORT;

const addressSchema = v.pipe(
  v.string('must be a string'),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d+$/, 'must be IP:port'),
  v.check((address) => isPort(address.slice(address.lastIndexOf(':') + 1)), 'has no valid port'),
);

const createCountSchema = (largest: number) =>
  v.pipe(
    v.number('must be a number'),
    v.integer('must be an integer'),
    v.minValue(1, 'must be at least 1'),
    v.maxValue(largest, `must be at most ${largest}`),
  );

const timeSchema = v.pipe(
  v.number('must be a number'),
  v.safeInteger('must be an integer'),
  v.minValue(0, 'must be at least 0'),
);

const announcementSchema = v.strictObject({
  service: nameSchema,
  address: addressSchema,
  directAddress: v.optional(addressSchema),
  slots: createCountSchema(MAX_SLOTS),
  connections: createCountSchema(MAX_CONNECTIONS),
  state: v.enum(AnnouncedState, 'must be "starting", "serving" or "draining"'),
  bornAtMs: v.optional(v.pipe(timeSchema, v.maxValue(MAX_BORN_AT_MS, 'must be before 2100'))),
  sequence: v.optional(timeSchema),
  /** Version of the server's software; roll-outs move requests between versions. */
  softwareVersion: v.optional(nameSchema),
});

/** Body of `PUT /v1/servers/{serverId}`. */
export type Announcement = v.InferOutput<typeof announcementSchema>;

const describeIssue = (issue: v.BaseIssue<unknown>, field: string): string => {
  if (issue.type === 'strict_object') {
    return issue.expected === 'never' ? `${field}: unknown field` : `${field}: missing`;
  }
  return `${field}: ${issue.message}`;
};

/**
 * Validates an announcement.
 *
 * @param serverId - server id from the request path
 * @param candidate - decoded JSON body
 * @returns the announcement, or an error that names the first invalid field
 */
export const parseAnnouncement = (
  serverId: string,
  candidate: unknown,
): Result<Announcement, AnnouncementError> => {
  const fail = (message: string, field: string) =>
    err(new AnnouncementError(AnnouncementErrorCode.InvalidField, message, field));
  const parsedId = v.safeParse(nameSchema, serverId);
  if (!parsedId.success) return fail(`serverId: ${parsedId.issues[0].message}`, 'serverId');
  const parsed = v.safeParse(announcementSchema, candidate, { abortEarly: true });
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0];
  const field = v.getDotPath(issue) ?? 'body';
  return fail(describeIssue(issue, field), field);
};
