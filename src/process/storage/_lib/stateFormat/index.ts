import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import * as v from 'valibot';

import { StorageError, StorageErrorCode } from '../../StorageError/index.js';

/** What a member must remember besides the log. */
export interface HardState {
  term: number;
  /** Member voted for in this term; empty when none. */
  votedFor: string;
  /** Cluster that this disk belongs to; empty before it has joined one. */
  clusterId: string;
}

const StateSchema = v.object({
  diskIdentity: v.pipe(v.string(), v.length(36)),
  term: v.pipe(v.number(), v.integer(), v.minValue(0)),
  votedFor: v.string(),
  clusterId: v.string(),
});

/** Encodes identity, term, vote and cluster. */
export const encodeState = (diskIdentity: string, hardState: HardState): Uint8Array =>
  Buffer.from(JSON.stringify({ diskIdentity, ...hardState }));

/** Decodes what `encodeState` wrote; Corrupt otherwise. */
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
