/** The TLS material that a process uses now. */
import type { ResultAsync } from 'neverthrow';
import { createLogger } from '../../log/index.js';
import { loadTlsMaterial } from '../loadTlsMaterial/index.js';

import type { TlsMaterial } from '../../../connection/openTransport/index.js';
import type { TlsError } from '../TlsError/index.js';
import type { ExpectedIdentity, TlsFiles } from '../loadTlsMaterial/index.js';

const log = createLogger('tls');

/** Holds checked material; a reload that fails leaves the former material in use. */
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
   * @param nowMs - present time in milliseconds since the epoch
   * @returns the store, or why the material cannot be used
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

  /** Returns the material for connections that are opened now. */
  current(): TlsMaterial {
    return this.#material;
  }

  /**
   * Loads the files again, as on SIGHUP. Open connections keep the material they started with.
   *
   * @returns why the new material cannot be used; the former stays in use then
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
   * Calls the listener after each reload.
   *
   * @returns a function that removes the listener
   */
  onReloaded(listener: (material: TlsMaterial) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

export type { TlsMaterial } from '../../../connection/openTransport/index.js';
