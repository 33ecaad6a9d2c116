/** Waits for a disk that refused a write to take writes again. */
import { open, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { createLogger } from '../../log/index.js';

const log = createLogger('control');

/** A full or hanging disk comes back after seconds; a probe costs one sync. */
const PROBE_INTERVAL_MS = 500;
const PROBE_FILE = 'probe';
/** As much as a version of a few hundred routes. */
const PROBE_BYTES = 65_536;

const canWrite = async (dataFolder: string): Promise<boolean> => {
  const path = join(dataFolder, PROBE_FILE);
  try {
    const file = await open(path, 'w');
    try {
      await file.write(Buffer.alloc(PROBE_BYTES));
      await file.sync();
    } finally {
      await file.close();
    }
    await rm(path, { force: true });
    return true;
  } catch (error) {
    log.debug({ dataFolder, reason: String(error) }, 'the disk does not take writes yet');
    return false;
  }
};

/**
 * Resolves when the storage of this control VM has failed and its disk takes writes again. A member
 * whose storage failed takes no part until it is opened anew, so its process has to start again.
 *
 * @param dataFolder - data folder of the log
 * @param hasFailed - tells whether the storage has failed
 */
const awaitDisk = async (dataFolder: string, hasFailed: () => boolean): Promise<void> => {
  while (!hasFailed() || !(await canWrite(dataFolder))) await sleep(PROBE_INTERVAL_MS);
  log.warn({ dataFolder }, 'the disk takes writes again; this process has to start anew');
};

export default awaitDisk;
