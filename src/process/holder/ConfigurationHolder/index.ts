/** Holds the configuration version that is in force on a node. */
import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { ConfigurationErrorCode } from '../../../version/ConfigurationError/index.js';
import { compileConfiguration } from '../../../version/compileConfiguration/index.js';
import { createLogger } from '../../log/index.js';
import { InstallError, InstallErrorCode } from '../InstallError/index.js';

import type { Configuration } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ConfigurationError } from '../../../version/ConfigurationError/index.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/types.js';

/** Called after each installation, with the version now in force. */
export type InstallListener = (compiled: CompiledConfiguration, nowMs: number) => void;

const log = createLogger('holder');

const convertError = (version: number, error: ConfigurationError): InstallError => {
  const code =
    error.code === ConfigurationErrorCode.HashMismatch
      ? InstallErrorCode.HashMismatch
      : InstallErrorCode.Invalid;
  return new InstallError(code, version, error.message);
};

/** Holds one compiled version, which a newer one replaces atomically. */
export class ConfigurationHolder {
  #current: CompiledConfiguration | undefined;

  readonly #listeners = new Set<InstallListener>();

  /** Returns the version in force; a request uses the one that it started with throughout. */
  current(): CompiledConfiguration | undefined {
    return this.#current;
  }

  /**
   * Installs a version unless it is older than the one in force, conflicts with it, or is invalid.
   *
   * @param candidate - the complete version; must not be modified after the call
   * @param nowMs - present time in milliseconds since the epoch
   * @returns the version in force, also when the candidate is the same version; or why the candidate
   *   was refused
   */
  install(candidate: Configuration, nowMs: number): Result<CompiledConfiguration, InstallError> {
    const inForce = this.#current;
    if (inForce !== undefined && candidate.version <= inForce.version) {
      return this.#compareWithVersionInForce(candidate, inForce);
    }
    const compiled = compileConfiguration(candidate).mapErr((error) =>
      convertError(candidate.version, error),
    );
    compiled.match(
      (next) => this.#activate(next, nowMs),
      (error) => log.warn({ version: error.version, code: error.code }, error.message),
    );
    return compiled;
  }

  /**
   * Calls the listener after each installation.
   *
   * @returns a function that removes the listener
   */
  onInstalled(listener: InstallListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #activate(next: CompiledConfiguration, nowMs: number): void {
    this.#current = next;
    log.info({ version: next.version }, 'configuration version in force');
    this.#listeners.forEach((listener) => listener(next, nowMs));
  }

  #compareWithVersionInForce(
    candidate: Configuration,
    inForce: CompiledConfiguration,
  ): Result<CompiledConfiguration, InstallError> {
    const { version } = candidate;
    if (version < inForce.version) {
      const message = `version ${version} is older than version ${inForce.version} in force`;
      return err(new InstallError(InstallErrorCode.Older, version, message));
    }
    if (Buffer.compare(candidate.contentHash, inForce.configuration.contentHash) !== 0) {
      const message = `version ${version} is in force with other content`;
      return err(new InstallError(InstallErrorCode.Conflict, version, message));
    }
    return ok(inForce);
  }
}
