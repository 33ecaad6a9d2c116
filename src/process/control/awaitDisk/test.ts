import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import tap from 'tap';

import awaitDisk from './index.js';

const settle = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against a control VM that stays out of the cluster after its full disk was emptied.
tap.test('a failed storage is reported once its disk takes writes again', async (t) => {
  const folder = await mkdtemp(join(tmpdir(), 'foxtailvane-disk-'));
  const dataFolder = join(folder, 'data');
  t.teardown(() => rm(folder, { recursive: true, force: true }));
  // A file in place of the folder refuses every write.
  await writeFile(dataFolder, '');
  let hasFailed = false;
  let isReported = false;
  const waiting = awaitDisk(dataFolder, () => hasFailed).then(() => {
    isReported = true;
  });
  await settle(700);
  t.equal(isReported, false, 'not while nothing has failed');
  hasFailed = true;
  await settle(1_200);
  t.equal(isReported, false, 'not while the disk refuses writes');
  await rm(dataFolder);
  await mkdir(dataFolder);
  await waiting;
  t.equal(isReported, true);
});
