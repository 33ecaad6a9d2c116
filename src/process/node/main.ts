/** Entry point of the node daemon and of its bundle. */
import { runDaemon } from '../daemon/runDaemon/index.js';
import type ExitCode from '../cli/ExitCode.js';
import { readNodeSettings } from '../settings/index.js';
import { startNode } from './startNode/index.js';

/** Runs the node daemon of a settings file until it receives a stop signal. */
const runNode = (settingsPath: string): Promise<ExitCode> =>
  runDaemon(settingsPath, { readSettings: readNodeSettings, start: startNode });

export default runNode;
