import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as v from 'valibot';

import { StorageError, StorageErrorCode } from '../../StorageError/index.js';

/** Persistent state of a member besides the log. */
export interface HardState {
  term: number;
  /** Disk identity of the candidate voted for in this term; empty if none. */
  votedFor: string;
  /** Cluster that this disk belongs to; empty until it has joined one. */
  clusterId: string;
}

const StateSchema = v.object({
  diskIdentity: v.pipe(v.string(), v.length(36)),
  term: v.pipe(v.number(), v.integer(), v.minValue(0)),
  votedFor: v.string(),
  clusterId: v.string(),
});

/** Encodes disk identity, term, vote and cluster. */
export const encodeState = (diskIdentity: string, hardState: HardState): Uint8Array =>
  Buffer.from(JSON.stringify({ diskIdentity, ...hardState }));

/** Decodes the output of `encodeState`; Corrupt if it is invalid. */
export const decodeState = (
  payload: Uint8Array,
): Result<{ diskIdentity: string; hardState: HardState }, StorageError> => {
  try {
    const parsed = v.parse(StateSchema, JSON.parse(Buffer.from(payload).toString('utf8')));
    const { diskIdentity, ...hardState } = parsed;
    return ok({ diskIdentity, hardState });
  } catch (error) {
    const message = 'the state file has unexpected content';
    return err(new StorageError(StorageErrorCode.Corrupt, message, error));
  }
};
