import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { TlsSettings } from '../../settings/index.js';
import { TlsStore } from '../../tls/TlsStore/index.js';
import type { ProcessRole } from '../../tls/readIdentity/index.js';
import { DaemonError, DaemonErrorCode } from '../DaemonError/index.js';

/** Name of a process and its TLS files, as set in its settings. */
export interface TlsProcessSettings {
  name: string;
  tls?: TlsSettings;
}

/**
 * Loads the TLS material of a daemon, if `[tls]` is set.
 *
 * @param settings - name of the process and its TLS files
 * @param role - role that the certificate must state
 * @param nowMs - present time in milliseconds since the epoch
 * @returns the store, or undefined without `[tls]`; TlsInvalid when the material can't be used
 */
export const openTls = async (
  settings: TlsProcessSettings,
  role: ProcessRole,
  nowMs: number,
): Promise<Result<TlsStore | undefined, DaemonError>> => {
  const { name, tls } = settings;
  if (!tls) return ok(undefined);
  const opened = await TlsStore.open(tls, { name, role }, nowMs);
  return opened.isErr()
    ? err(new DaemonError(DaemonErrorCode.TlsInvalid, opened.error.message, opened.error))
    : ok(opened.value);
};

/** Reloads the TLS material on SIGHUP; returns a function that removes the handler. */
export const reloadOnHangup = (tls: TlsStore | undefined): (() => void) => {
  if (!tls) return () => undefined;
  // The store logs a failed reload and keeps the previous material.
  const reload = (): void => {
    tls.reload(Date.now()).unwrapOr(undefined);
  };
  process.on('SIGHUP', reload);
  return () => process.off('SIGHUP', reload);
};
