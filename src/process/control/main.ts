/** Entry point of the control daemon. */
import { runDaemon } from '../daemon/runDaemon/index.js';
import type ExitCode from '../cli/ExitCode.js';
import { readControlSettings } from '../settings/index.js';
import { startControl } from './startControl/index.js';

/** Runs the control daemon of a settings file until it receives a stop signal. */
const runControl = (settingsPath: string): Promise<ExitCode> =>
  runDaemon(settingsPath, { readSettings: readControlSettings, start: startControl });

export default runControl;
