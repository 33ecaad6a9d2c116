import { fromBinary } from '@bufbuild/protobuf';
import { Result, err, ok } from 'neverthrow';

import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import {
  ConfigurationDeltaSchema,
  ConfigurationSchema,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { InstallError, InstallErrorCode } from '../../../process/holder/InstallError/index.js';
import { ConfigurationErrorCode } from '../../../version/ConfigurationError/index.js';
import { applyDelta } from '../../../version/applyDelta/index.js';

import type {
  Configuration,
  ConfigurationDelta,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ConfigurationHolder } from '../../../process/holder/ConfigurationHolder/index.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/types.js';

const decode = <Desc extends DescMessage>(
  schema: Desc,
  bytes: Uint8Array,
): Result<MessageShape<Desc>, InstallError> =>
  Result.fromThrowable(
    () => fromBinary(schema, bytes),
    (cause) =>
      new InstallError(InstallErrorCode.Undecodable, 0, `update cannot be decoded: ${cause}`),
  )();

const resolveDelta = (
  held: Configuration | undefined,
  delta: ConfigurationDelta,
): Result<Configuration, InstallError> => {
  const { version } = delta;
  if (held === undefined) {
    const message = `delta to version ${version} cannot be applied: no version is in force`;
    return err(new InstallError(InstallErrorCode.BaseMismatch, version, message));
  }
  return applyDelta(held, delta).mapErr((error) => {
    const isHash = error.code === ConfigurationErrorCode.HashMismatch;
    const code = isHash ? InstallErrorCode.HashMismatch : InstallErrorCode.BaseMismatch;
    return new InstallError(code, version, error.message);
  });
};

// The target of a delta may meanwhile have arrived from another source; the delta is then checked
// like a snapshot of that version.
const checkVersion = (
  held: Configuration | undefined,
  delta: ConfigurationDelta,
): Result<Configuration | undefined, InstallError> => {
  if (held === undefined || delta.version > held.version) return ok(undefined);
  const isSame =
    delta.version === held.version && Buffer.compare(delta.contentHash, held.contentHash) === 0;
  if (isSame) return ok(held);
  const isOlder = delta.version < held.version;
  const code = isOlder ? InstallErrorCode.Older : InstallErrorCode.Conflict;
  const message = isOlder
    ? `version ${delta.version} is older than version ${held.version} in force`
    : `version ${delta.version} is in force with other content`;
  return err(new InstallError(code, delta.version, message));
};

/**
 * Decodes and installs a snapshot.
 *
 * @returns the version in force, or why the whole update was refused
 */
export const installSnapshot = (
  holder: ConfigurationHolder,
  bytes: Uint8Array,
  nowMs: number,
): Result<CompiledConfiguration, InstallError> =>
  decode(ConfigurationSchema, bytes).andThen((candidate) => holder.install(candidate, nowMs));

/**
 * Decodes a delta, applies it to the version in force and installs the result.
 *
 * @returns the version in force, or why the whole update was refused
 */
export const installDelta = (
  holder: ConfigurationHolder,
  bytes: Uint8Array,
  nowMs: number,
): Result<CompiledConfiguration, InstallError> => {
  const held = holder.current()?.configuration;
  return decode(ConfigurationDeltaSchema, bytes).andThen((delta) =>
    checkVersion(held, delta)
      .andThen((same) => (same === undefined ? resolveDelta(held, delta) : ok(same)))
      .andThen((candidate) => holder.install(candidate, nowMs)),
  );
};
