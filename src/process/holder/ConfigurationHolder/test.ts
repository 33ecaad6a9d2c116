import tap from 'tap';

import {
  buildConfiguration,
  buildSizedConfiguration,
} from '../../../../stand-ins/configurations/index.js';
import { expectError, expectOk } from '../../../../stand-ins/results/index.js';
import { InstallErrorCode } from '../InstallError/index.js';
import { ConfigurationHolder } from './index.js';

const NOW_MS = 1_000;

tap.test('nothing older is ever installed, whoever offers it', async (t) => {
  const holder = new ConfigurationHolder();
  holder.install(buildSizedConfiguration(7), NOW_MS);
  const error = expectError(holder.install(buildSizedConfiguration(6), NOW_MS));
  t.equal(error.code, InstallErrorCode.Older);
  t.equal(holder.current()?.version, 7);
});

tap.test('the same number with other content is refused, or nodes would diverge', async (t) => {
  const holder = new ConfigurationHolder();
  holder.install(buildSizedConfiguration(7), NOW_MS);
  const other = buildSizedConfiguration(7, { firstTimeoutMs: 450 });
  t.equal(expectError(holder.install(other, NOW_MS)).code, InstallErrorCode.Conflict);
});

tap.test('an invalid version leaves the one in force untouched', async (t) => {
  const holder = new ConfigurationHolder();
  const installed: number[] = [];
  holder.onInstalled((compiled) => installed.push(compiled.version));
  const held = expectOk(holder.install(buildSizedConfiguration(7), NOW_MS));
  const invalid = buildConfiguration(8, {
    services: [{ name: 'desk' }],
    routes: [{ name: 'r', targets: [{ service: 'lost', weightPercent: 100 }] }],
  });
  t.equal(expectError(holder.install(invalid, NOW_MS)).code, InstallErrorCode.Invalid);
  const altered = { ...buildSizedConfiguration(8), services: [] };
  t.equal(expectError(holder.install(altered, NOW_MS)).code, InstallErrorCode.HashMismatch);
  t.equal(holder.current(), held);
  t.strictSame(installed, [7]);
});

tap.test('a repeated offer of the version in force changes nothing', async (t) => {
  const holder = new ConfigurationHolder();
  const installed: number[] = [];
  const unsubscribe = holder.onInstalled((compiled) => installed.push(compiled.version));
  const held = expectOk(holder.install(buildSizedConfiguration(7), NOW_MS));
  t.equal(expectOk(holder.install(buildSizedConfiguration(7), NOW_MS)), held);
  unsubscribe();
  holder.install(buildSizedConfiguration(9), NOW_MS);
  t.strictSame(installed, [7], 'and a removed listener is not called');
  t.equal(held.version, 7, 'a request keeps the version it started with');
});
