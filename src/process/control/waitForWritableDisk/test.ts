import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import tap from 'tap';

import waitForWritableDisk from './index.js';

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against a control VM that stays inactive after space was freed on its full disk.
tap.test('resolves once the storage has failed and its disk is writable again', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'foxtailvane-disk-'));
  const dataFolder = join(folder, 'data');
  t.teardown(() => rm(folder, { recursive: true, force: true }));
  // A file in place of the folder makes every write fail.
  await writeFile(dataFolder, '');
  let hasFailed = false;
  let isReported = false;
  const waiting = waitForWritableDisk(dataFolder, () => hasFailed).then(() => {
    isReported = true;
  });
  await delay(700);
  t.equal(isReported, false, 'not before the storage fails');
  hasFailed = true;
  await delay(1_200);
  t.equal(isReported, false, 'not while writes to the disk fail');
  await rm(dataFolder);
  await mkdir(dataFolder);
  await waiting;
  t.equal(isReported, true);
});
