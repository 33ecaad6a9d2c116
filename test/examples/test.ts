import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';

import tap from 'tap';

import { parseControlSettings, parseNodeSettings } from '../../src/process/settings/index.js';
import { parseSheet } from '../../src/version/parseSheet/index.js';

const FOLDERS = ['examples', 'examples/thibodeaux', 'examples/trentlow'];
const OPTIONS = { baseFolder: '/etc/foxtailvane' };

const listFiles = (suffix: string): string[] =>
  FOLDERS.flatMap((folder) =>
    readdirSync(folder)
      .filter((name) => name.endsWith(suffix))
      .map((name) => join(folder, name)),
  );

/** Uncomments optional keys and sections, so that they are checked too. */
const uncommentOptions = (text: string): string => text.replaceAll(/^;(?=\[|[a-z_]+ = )/gm, '');

tap.test('every example settings file is valid, also with all optional settings', async (t) => {
  const files = listFiles('.ini');
  t.equal(files.length, 12);
  files.forEach((file) => {
    const text = readFileSync(file, 'utf8');
    const parse = /^\[node\]/m.test(text) ? parseNodeSettings : parseControlSettings;
    [text, uncommentOptions(text)].forEach((variant) => {
      const parsed = parse(variant, OPTIONS);
      t.strictSame(parsed.isErr() ? parsed.error.faults : [], [], file);
    });
  });
});

tap.test('every example sheet is valid', async (t) => {
  listFiles('.csv').forEach((file) => {
    const parsed = parseSheet(readFileSync(file), { version: 1 });
    t.strictSame(parsed.isErr() ? parsed.error.faults : [], [], file);
  });
});
