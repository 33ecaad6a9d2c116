import { equals } from '@bufbuild/protobuf';
import fc from 'fast-check';
import tap from 'tap';

import { ConfigurationSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import {
  buildConfiguration,
  buildSizedConfiguration,
} from '../../../stand-ins/configurations/index.js';
import { expectError, expectOk } from '../../../stand-ins/results/index.js';
import { ConfigurationErrorCode } from '../ConfigurationError/index.js';
import { createDelta } from '../createDelta/index.js';
import { applyDelta } from './index.js';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

const rowsArbitrary = fc.uniqueArray(
  fc.record({ name: fc.constantFrom(...NAMES), timeoutMs: fc.integer({ min: 1, max: 3 }) }),
  { selector: (row) => row.name },
);

const workspacesArbitrary = fc.uniqueArray(
  fc.record({ name: fc.constantFrom(...NAMES), ratePerSecond: fc.integer({ min: 0, max: 2 }) }),
  { selector: (row) => row.name },
);

const sortByName = <Row extends { name: string }>(rows: Row[]): Row[] =>
  rows.toSorted((left, right) => (left.name < right.name ? -1 : 1));

tap.test('applying the delta between two versions to the first yields the second', async (t) => {
  const seed = Number(process.env.SEED ?? Date.now() % 2 ** 31);
  t.comment(`seed ${seed}`);
  const property = fc.property(
    rowsArbitrary,
    rowsArbitrary,
    rowsArbitrary,
    rowsArbitrary,
    workspacesArbitrary,
    workspacesArbitrary,
    (baseServices, baseRoutes, nextServices, nextRoutes, baseWorkspaces, nextWorkspaces) => {
      const base = buildConfiguration(1, {
        services: baseServices,
        routes: baseRoutes,
        workspaces: baseWorkspaces,
      });
      const next = buildConfiguration(2, {
        services: sortByName(nextServices),
        routes: sortByName(nextRoutes),
        workspaces: sortByName(nextWorkspaces),
      });
      const delta = expectOk(createDelta(base, next));
      return equals(ConfigurationSchema, expectOk(applyDelta(base, delta)), next);
    },
  );
  fc.assert(property, { seed, numRuns: 500 });
});

tap.test('a delta for another base is refused, because rows would be lost', async (t) => {
  const delta = expectOk(createDelta(buildSizedConfiguration(1), buildSizedConfiguration(3)));
  const otherNumber = applyDelta(buildSizedConfiguration(2), delta);
  t.equal(expectError(otherNumber).code, ConfigurationErrorCode.BaseMismatch);
  const otherContent = applyDelta(buildSizedConfiguration(1, { firstTimeoutMs: 9 }), delta);
  t.equal(expectError(otherContent).code, ConfigurationErrorCode.BaseMismatch);
});

tap.test('a delta whose result does not match its content hash is refused', async (t) => {
  const base = buildSizedConfiguration(1);
  const delta = createDelta(base, buildSizedConfiguration(2, { firstTimeoutMs: 9 }));
  const truncated = { ...expectOk(delta), upsertedRoutes: [] };
  t.equal(expectError(applyDelta(base, truncated)).code, ConfigurationErrorCode.HashMismatch);
});
