import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { createChange } from '../../../../../stand-ins/controlCluster/index.js';
import { unwrapResult } from '../../../../../stand-ins/unwrapResult/index.js';
import { AcceptedVersionSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import { ApplyOutcome } from '../../ControlLog/index.js';
import { findFinalResult } from '../findFinalResult/index.js';
import validateChange from '../validateChange/index.js';
import { AcceptedVersions } from './index.js';

const MAX_BYTES = 1_000_000;

const createAccepted = (version: number, slots = 20): AcceptedVersion =>
  validateChange(createChange(version, slots), 1_000, MAX_BYTES).unwrapOr(
    create(AcceptedVersionSchema),
  );

const createVersions = (numbers: number[], maxConfigurations = 600): AcceptedVersions => {
  const versions = new AcceptedVersions(maxConfigurations);
  numbers.forEach((version, position) => versions.apply(createAccepted(version), position + 1));
  return versions;
};

tap.test('a version that is not higher than the newest is not applied', async (t) => {
  const versions = createVersions([3, 5]);
  t.notOk(versions.apply(createAccepted(5, 21), 9));
  t.notOk(versions.apply(createAccepted(4), 10));
  t.strictSame(
    versions.list().map(({ version, logIndex }) => [version, logIndex]),
    [
      [3, 1],
      [5, 2],
    ],
  );
});

tap.test('configurations beyond the limit are dropped, their holders are kept', async (t) => {
  const versions = createVersions([1, 2, 3, 4], 2);
  t.equal(versions.committedVersion(2), undefined);
  t.equal(versions.committedVersion(3)?.configuration.version, 3);
  t.equal(versions.list().length, 4);
  const restored = new AcceptedVersions(2);
  restored.replace(versions.list());
  t.strictSame(restored.list(), versions.list());
  t.equal(findFinalResult(restored, createAccepted(1))?.outcome, ApplyOutcome.AlreadyAccepted);
  t.equal(findFinalResult(restored, createAccepted(1, 21))?.outcome, ApplyOutcome.Conflict);
});

tap.test('committed versions decide the outcome of all but higher versions', async (t) => {
  const versions = createVersions([3, 5]);
  t.equal(findFinalResult(versions, createAccepted(6)), undefined);
  t.equal(findFinalResult(versions, createAccepted(4))?.outcome, ApplyOutcome.Stale);
  t.equal(findFinalResult(versions, createAccepted(4))?.holder?.version, 5);
  t.equal(findFinalResult(versions, createAccepted(3))?.outcome, ApplyOutcome.AlreadyAccepted);
  t.equal(findFinalResult(versions, createAccepted(3, 21))?.outcome, ApplyOutcome.Conflict);
  t.equal(findFinalResult(createVersions([]), createAccepted(1)), undefined);
});

tap.test('a configuration that is too large is rejected by the validation', async (t) => {
  const change = createChange(1, 20, { serviceCount: 10 });
  t.ok(validateChange(change, 0, 50).isErr());
  t.equal(unwrapResult(validateChange(change, 0, MAX_BYTES).mapErr(Error)).version, 1);
});
