/** Runs a case, writes its record, and sets the exit code. */
import { writeFile } from 'node:fs/promises';

const EXIT_HELD = 0;
/** Differs from that of a process that fails with an error; `run.sh` exits with 1 instead. */
const EXIT_BROKEN = 10;
const EXIT_NOT_RUN = 2;
const TIME_LIMIT_MS = 105_000;

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Lines of the record: what was sent, answered and run. */
export class Record {
  #lines = [];

  #startedAtMs = performance.now();

  /** Adds a line with the time since the start. */
  add(event, fields = {}) {
    const atMs = Math.round(performance.now() - this.#startedAtMs);
    this.#lines.push(JSON.stringify({ atMs, event, ...fields }));
  }

  write(path) {
    return writeFile(path, `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and sets the exit code: 0 if the rule held, 10 if it was broken, 2 if the case could not run.
 *
 * @param folderUrl - URL of a file in the folder of the case
 * @param play - receives the record and a list of functions that end what was started; resolves with
 *   whether the rule was broken, and what was seen
 */
export const runCase = async (folderUrl, play) => {
  const record = new Record();
  const cleanups = [];
  const stop = async () => {
    await Promise.allSettled(cleanups.map((cleanup) => cleanup()));
    await record.write(new URL('record.txt', folderUrl));
  };
  let timeout;
  const limit = new Promise((_, reject) => {
    timeout = setTimeout(() => reject(new Error('time limit of the case')), TIME_LIMIT_MS);
  });
  process.exitCode = EXIT_NOT_RUN;
  try {
    const { isBroken, summary } = await Promise.race([play(record, cleanups), limit]);
    record.add(isBroken ? 'rule broken' : 'rule held', { hasTrouble, summary });
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${summary}\n`);
    process.exitCode = isBroken ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    record.add('case could not run', { reason: String(error) });
    process.stderr.write(`could not run: ${String(error)}\n`);
  }
  clearTimeout(timeout);
  await stop();
};
