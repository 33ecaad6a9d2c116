import type { Result } from 'neverthrow';

import ExitCode from '../../cli/ExitCode.js';
import { closeLog, configureLog } from '../../log/index.js';
import { describeSettingsFault } from '../../settings/index.js';
import type { LogSettings, SettingsError } from '../../settings/index.js';
import type { DaemonError } from '../DaemonError/index.js';
import printError from '../printError/index.js';
import reportFatalErrors from '../reportFatalErrors/index.js';
import waitForStop from '../waitForStop/index.js';
import type { Stoppable } from '../waitForStop/index.js';

/** Reads the settings of one kind of daemon and starts it. */
export interface DaemonDefinition<Settings extends { log: LogSettings }> {
  readSettings: (path: string) => Promise<Result<Settings, SettingsError>>;
  /** `nowMs` is the start time of the process in milliseconds since the epoch. */
  start: (settings: Settings, nowMs: number) => Promise<Result<Stoppable, DaemonError>>;
}

/** Reopens the log on SIGHUP, after a rotation; returns a function that removes the handler. */
const reopenOnHangup = (log: LogSettings): (() => void) => {
  const reopen = (): void => {
    configureLog(log).catch((error: unknown) => printError(`cannot reopen the log: ${error}`));
  };
  process.on('SIGHUP', reopen);
  return () => process.off('SIGHUP', reopen);
};

/**
 * Runs a daemon until SIGTERM or SIGINT.
 *
 * @param settingsPath - path of the INI file
 * @param definition - reads the settings and starts the daemon
 * @returns the exit code; errors are written to stderr, one line each
 */
export const runDaemon = async <Settings extends { log: LogSettings }>(
  settingsPath: string,
  definition: DaemonDefinition<Settings>,
): Promise<ExitCode> => {
  const settings = await definition.readSettings(settingsPath);
  if (settings.isErr()) {
    settings.error.faults
      .map((fault) => `${settingsPath}: ${describeSettingsFault(fault)}`)
      .forEach(printError);
    return ExitCode.BadInput;
  }
  const { log } = settings.value;
  await configureLog(log);
  reportFatalErrors();
  const stopReopening = reopenOnHangup(log);
  try {
    const daemon = await definition.start(settings.value, Date.now());
    if (daemon.isErr()) {
      printError(daemon.error.message);
      return ExitCode.Refused;
    }
    await waitForStop(daemon.value);
    return ExitCode.Done;
  } finally {
    stopReopening();
    await closeLog();
  }
};
