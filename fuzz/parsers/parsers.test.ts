import fc from 'fast-check';
import tap from 'tap';

import { parseControlSettings, parseNodeSettings } from '../../src/process/settings/index.js';
import { compileConfiguration } from '../../src/version/compileConfiguration/index.js';
import { parseSheet } from '../../src/version/parseSheet/index.js';
import { createOrderDeskSheet, createLargeSheet } from '../../stand-ins/createSheet/index.js';
import { createEditedText, runFuzz } from '../_lib/runFuzz.js';

const VERSION = 7;
const SHEET_TOKENS = [
  ',',
  '"',
  '\n',
  '\r\n',
  '|',
  '\uFEFF',
  'route',
  'service',
  'yes',
  '-1',
  '0',
  '1e9',
];

const SETTINGS = [
  '[control]\nname = c1\ndata_centre = dc-1\nregion = r\ndata_folder = data\n' +
    'listen = 127.0.0.1:7400\noperator_listen = 127.0.0.1:7401\n' +
    '[members]\nc1 = dc-1, 127.0.0.1:7400\n[operator]\ntoken_file = token\n',
  '[node]\nname = n1\ndata_centre = dc-1\nregion = r\nlisten = 127.0.0.1:1\n' +
    'forward_listen = 127.0.0.1:2\npeer_listen = 127.0.0.1:3\nlocal_listen = 127.0.0.1:4\n' +
    '[control]\ndc-1 = 127.0.0.1:7400\n',
];
const SETTINGS_TOKENS = [
  '[',
  ']',
  '=',
  '\n',
  ';',
  '#',
  '__proto__',
  '[]',
  '.',
  '"',
  "'",
  'constructor',
];

tap.test(
  'an edited sheet is either refused with faults or yields a configuration that compiles',
  async () => {
    const sheets = createEditedText(
      [createOrderDeskSheet(), createLargeSheet({ services: 5, routes: 8 })],
      SHEET_TOKENS,
    );
    await runFuzz(
      'sheet',
      fc.property(sheets, (text) => {
        const parsed = parseSheet(Buffer.from(text), { version: VERSION });
        if (parsed.isErr()) return parsed.error.faults.length > 0;
        return compileConfiguration(parsed.value).isOk();
      }),
    );
  },
);

tap.test('the sheet parser refuses random bytes without throwing', async () => {
  await runFuzz(
    'sheet bytes',
    fc.property(fc.uint8Array({ maxLength: 2_000 }), (bytes) =>
      parseSheet(bytes, { version: VERSION }).isErr(),
    ),
  );
});

tap.test('edited settings are either parsed or refused with faults, without throwing', async () => {
  const options = { baseFolder: '/tmp' };
  await runFuzz(
    'settings',
    fc.property(createEditedText(SETTINGS, SETTINGS_TOKENS), (text) =>
      [parseControlSettings(text, options), parseNodeSettings(text, options)].every(
        (parsed) => parsed.isOk() || parsed.error.faults.length > 0,
      ),
    ),
  );
});
