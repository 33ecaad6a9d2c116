import tap from 'tap';

import {
  buildConfiguration,
  buildSizedConfiguration,
} from '../../../../stand-ins/configurations/index.js';
import { expectError, expectOk } from '../../../../stand-ins/results/index.js';
import { InstallErrorCode } from '../InstallError/index.js';
import { ConfigurationHolder } from './index.js';

const NOW_MS = 1_000;

tap.test('install refuses a version older than the one in force', async (t) => {
  const holder = new ConfigurationHolder();
  holder.install(buildSizedConfiguration(7), NOW_MS);
  const error = expectError(holder.install(buildSizedConfiguration(6), NOW_MS));
  t.equal(error.code, InstallErrorCode.Older);
  t.equal(holder.current()?.version, 7);
});

// Nodes would diverge if one version number could have two contents.
tap.test('install refuses other content under the version number in force', async (t) => {
  const holder = new ConfigurationHolder();
  holder.install(buildSizedConfiguration(7), NOW_MS);
  const other = buildSizedConfiguration(7, { firstTimeoutMs: 450 });
  t.equal(expectError(holder.install(other, NOW_MS)).code, InstallErrorCode.Conflict);
});

tap.test('an invalid version leaves the version in force unchanged', async (t) => {
  const holder = new ConfigurationHolder();
  const installed: number[] = [];
  holder.onInstalled((compiled) => installed.push(compiled.version));
  const inForce = expectOk(holder.install(buildSizedConfiguration(7), NOW_MS));
  const invalid = buildConfiguration(8, {
    services: [{ name: 'desk' }],
    routes: [{ name: 'r', targets: [{ service: 'lost', weightPercent: 100 }] }],
  });
  t.equal(expectError(holder.install(invalid, NOW_MS)).code, InstallErrorCode.Invalid);
  const altered = { ...buildSizedConfiguration(8), services: [] };
  t.equal(expectError(holder.install(altered, NOW_MS)).code, InstallErrorCode.HashMismatch);
  t.equal(holder.current(), inForce);
  t.strictSame(installed, [7]);
});

tap.test('installing the version in force again changes nothing', async (t) => {
  const holder = new ConfigurationHolder();
  const installed: number[] = [];
  const unsubscribe = holder.onInstalled((compiled) => installed.push(compiled.version));
  const inForce = expectOk(holder.install(buildSizedConfiguration(7), NOW_MS));
  t.equal(expectOk(holder.install(buildSizedConfiguration(7), NOW_MS)), inForce);
  unsubscribe();
  holder.install(buildSizedConfiguration(9), NOW_MS);
  t.strictSame(installed, [7], 'a removed listener is not called');
  t.equal(inForce.version, 7, 'a request keeps the version that it started with');
});
