/** Waits until a disk that failed a write is writable again. */
import { open, rm } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import { createLogger } from '../../log/index.js';

const log = createLogger('control');

/** A full or hanging disk recovers after seconds; each probe costs one sync. */
const PROBE_INTERVAL_MS = 500;
const PROBE_FILE = 'probe';
/** About the size of a configuration version with a few hundred routes. */
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
    log.debug({ dataFolder, reason: String(error) }, 'the disk is not writable yet');
    return false;
  }
};

/**
 * Resolves once the storage of this control VM has failed and its disk is writable again. A member
 * whose storage has failed stays inactive until its log is reopened.
 *
 * @param dataFolder - data folder of the log
 * @param hasFailed - returns whether the storage has failed
 * @param isCancelled - returns whether to end the wait; never by default
 */
const waitForWritableDisk = async (
  dataFolder: string,
  hasFailed: () => boolean,
  isCancelled: () => boolean = () => false,
): Promise<void> => {
  const isOver = async (): Promise<boolean> =>
    isCancelled() || (hasFailed() && (await canWrite(dataFolder)));
  while (!(await isOver())) await sleep(PROBE_INTERVAL_MS);
  if (!isCancelled()) log.warn({ dataFolder }, 'the disk is writable again; the log is reopened');
};

export default waitForWritableDisk;
