import { createHash } from 'node:crypto';
import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';

import { create } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import {
  AcceptedVersionSchema,
  VersionDeltaSchema,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AcceptedVersion,
  PatchOperation,
  VersionDelta,
} from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { createLogger } from '../../../log/index.js';
import { applyPatch, createPatch } from '../bytePatch/index.js';

const log = createLogger('replication');

const NO_BYTES = new Uint8Array(0);

/** Limit of a configuration and of a document that a delta may lead to. */
const MAX_RESULT_BYTES = 64 * 1_024 * 1_024;

/** A delta above this share of the whole version is not worth its computation at the receiver. */
const MAX_DELTA_SHARE = 0.5;

/** Estimated encoded size of an operation besides the inserted bytes. */
const OPERATION_BYTES = 10;

const inflateAsync = promisify(inflateRaw);

const deflateAsync = promisify(deflateRaw);

const inflate = async (document: Uint8Array): Promise<Uint8Array> =>
  document.length === 0 ? NO_BYTES : inflateAsync(document, { maxOutputLength: MAX_RESULT_BYTES });

const computeDigest = (configuration: Uint8Array, document: Uint8Array): Uint8Array =>
  createHash('sha256').update(configuration).update(document).digest();

const measure = (operations: PatchOperation[]): number =>
  operations.reduce((sum, { inserted }) => sum + OPERATION_BYTES + inserted.length, 0);

/**
 * Creates the delta that turns one accepted version into another.
 *
 * @param base - the version that the receiver has
 * @param target - the version that the delta leads to
 * @returns the delta; undefined if it is not clearly smaller than the version, or if a document is
 *   not deflated
 */
export const createVersionDelta = async (
  base: AcceptedVersion,
  target: AcceptedVersion,
): Promise<VersionDelta | undefined> => {
  try {
    const document = await inflate(target.document);
    const operations = {
      configuration: createPatch(base.configuration, target.configuration),
      document: createPatch(await inflate(base.document), document),
    };
    const deltaBytes = measure(operations.configuration) + measure(operations.document);
    const wholeBytes = target.configuration.length + target.document.length;
    if (deltaBytes > wholeBytes * MAX_DELTA_SHARE) return undefined;
    return create(VersionDeltaSchema, {
      head: { ...target, configuration: NO_BYTES, document: NO_BYTES },
      ...operations,
      digest: computeDigest(target.configuration, document),
    });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    log.warn(
      { version: target.version, reason },
      'cannot inflate a document; replicating it whole',
    );
    return undefined;
  }
};

/**
 * Applies a delta to the version it was created against.
 *
 * @param base - the base version
 * @param delta - the changes; may come from another process
 * @returns the version, whose document may be deflated to other bytes than at the sender; or why the
 *   delta cannot be applied
 */
export const applyVersionDelta = async (
  base: AcceptedVersion,
  delta: VersionDelta,
): Promise<Result<AcceptedVersion, string>> => {
  try {
    const configuration = applyPatch(base.configuration, delta.configuration, MAX_RESULT_BYTES);
    const document = applyPatch(await inflate(base.document), delta.document, MAX_RESULT_BYTES);
    if (!delta.head || !configuration || !document) return err('the delta is not for this base');
    if (Buffer.compare(computeDigest(configuration, document), delta.digest) !== 0) {
      return err('the result does not match its digest');
    }
    return ok(
      create(AcceptedVersionSchema, {
        ...delta.head,
        configuration,
        document: document.length === 0 ? NO_BYTES : await deflateAsync(document),
      }),
    );
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
};
