/** Holds the current TLS material of a process. */
import type { ResultAsync } from 'neverthrow';
import { createLogger } from '../../log/index.js';
import { loadTlsMaterial } from '../loadTlsMaterial/index.js';

import type { TlsMaterial } from '../../../connection/openTransport/index.js';
import type { TlsError } from '../TlsError/index.js';
import type { ExpectedIdentity, TlsFiles } from '../loadTlsMaterial/index.js';

const log = createLogger('tls');

/** Holds validated TLS material; a failed reload keeps the previous material. */
export class TlsStore {
  readonly #files: TlsFiles;

  readonly #expected: ExpectedIdentity;

  readonly #listeners = new Set<(material: TlsMaterial) => void>();

  #material: TlsMaterial;

  private constructor(files: TlsFiles, expected: ExpectedIdentity, material: TlsMaterial) {
    this.#files = files;
    this.#expected = expected;
    this.#material = material;
  }

  /**
   * Loads the material of a process.
   *
   * @param files - paths of the PEM files
   * @param expected - identity that the certificate must have
   * @param nowMs - current time in milliseconds since the epoch
   * @returns the store, or why the material can't be used
   */
  static open(
    files: TlsFiles,
    expected: ExpectedIdentity,
    nowMs: number,
  ): ResultAsync<TlsStore, TlsError> {
    return loadTlsMaterial(files, expected, nowMs).map(
      (material) => new TlsStore(files, expected, material),
    );
  }

  /** Returns the material for new connections. */
  current(): TlsMaterial {
    return this.#material;
  }

  /**
   * Reloads the files, as on SIGHUP. Open connections keep the material they started with.
   *
   * @param nowMs - current time in milliseconds since the epoch
   * @returns an error if the new material can't be used; the previous material then stays in use
   */
  reload(nowMs: number): ResultAsync<void, TlsError> {
    return loadTlsMaterial(this.#files, this.#expected, nowMs)
      .andTee((material) => this.#replace(material))
      .orTee(({ code, message }) => log.error({ code }, `TLS material not reloaded: ${message}`))
      .map(() => undefined);
  }

  #replace(material: TlsMaterial): void {
    this.#material = material;
    this.#listeners.forEach((listener) => listener(material));
    log.info({}, 'TLS material reloaded');
  }

  /**
   * Registers a listener that is called after each successful reload.
   *
   * @param listener - receives the new material
   * @returns a function that removes the listener
   */
  onReloaded(listener: (material: TlsMaterial) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

export type { TlsMaterial } from '../../../connection/openTransport/index.js';
