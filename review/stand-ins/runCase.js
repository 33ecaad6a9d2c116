/** Runs the script of a case: starts a system, writes the record and sets the exit code. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import System from './System.js';

/** Exit codes of a script. */
const HELD = 0;
const BROKEN = 1;
const FAILED = 2;

/**
 * @param folder - folder of the case
 * @param play - plays the case; gets the system, whether to cause the trouble, and `note`, which adds
 *   a line to the record; returns whether the rule was broken
 */
const runCase = async (folder, play) => {
  const isTroubled = process.env.TROUBLE !== '0';
  const lines = [];
  const startedAtMs = performance.now();
  const note = (text) => {
    lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`);
  };
  const system = new System();
  const finish = async (code) => {
    process.exitCode = code;
    await system.stop();
    await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.at(-1)}\n`);
  };
  // The timers of an abandoned case would keep this process alive.
  const abandon = async (reason) => {
    note(`could not run: ${reason instanceof Error ? reason.stack : String(reason)}`);
    await finish(FAILED);
    // eslint-disable-next-line n/no-process-exit
    process.exit(FAILED);
  };
  process.once('uncaughtException', abandon);
  process.once('SIGTERM', abandon);
  note(`start, trouble: ${isTroubled ? 'yes' : 'no'}`);
  try {
    const isBroken = await play({ system, isTroubled, note });
    note(isBroken ? 'RULE BROKEN' : 'rule held');
    await finish(isBroken ? BROKEN : HELD);
  } catch (error) {
    note(`could not run: ${error instanceof Error ? error.stack : String(error)}`);
    await finish(FAILED);
  }
};

export default runCase;
