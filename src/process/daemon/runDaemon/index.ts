import type { Result } from 'neverthrow';

import ExitCode from '../../cli/ExitCode.js';
import type { SettingsError, SettingsFault } from '../../settings/index.js';
import type { DaemonError } from '../DaemonError/index.js';
import waitForStop from '../waitForStop/index.js';
import type { Stoppable } from '../waitForStop/index.js';

/** How one kind of daemon reads its settings and starts. */
export interface DaemonKind<Settings> {
  readSettings: (path: string) => Promise<Result<Settings, SettingsError>>;
  /** `nowMs` is the start time of the process in milliseconds since the epoch. */
  start: (settings: Settings, nowMs: number) => Promise<Result<Stoppable, DaemonError>>;
}

const printError = (line: string): void => {
  process.stderr.write(`foxtailvane: ${line}\n`);
};

const describeFault = ({ section, key, value, expected }: SettingsFault): string =>
  `[${section}] ${key} = ${JSON.stringify(value)}: expected ${expected}`;

/**
 * Runs a daemon until it is told to stop.
 *
 * @param settingsPath - path of the INI file
 * @param kind - reads the settings and starts the daemon
 * @returns the exit code; errors are written to stderr, one line each
 */
export const runDaemon = async <Settings>(
  settingsPath: string,
  kind: DaemonKind<Settings>,
): Promise<ExitCode> => {
  const settings = await kind.readSettings(settingsPath);
  if (settings.isErr()) {
    settings.error.faults.map(describeFault).forEach(printError);
    return ExitCode.BadInput;
  }
  const daemon = await kind.start(settings.value, Date.now());
  if (daemon.isErr()) {
    printError(daemon.error.message);
    return ExitCode.Refused;
  }
  await waitForStop(daemon.value);
  return ExitCode.Done;
};
