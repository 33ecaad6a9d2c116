import { create, toBinary } from '@bufbuild/protobuf';

import {
  LogChangeSchema,
  MembershipSchema,
} from '../../src/_generated/foxtailvane/v1/replication_pb.js';
import type { LogChange } from '../../src/_generated/foxtailvane/v1/replication_pb.js';
import { MetricsRegistry } from '../../src/process/metrics/index.js';
import { Replica } from '../../src/process/replication/_lib/Replica/index.js';
import {
  DEFAULT_LIMITS,
  DEFAULT_TIMINGS,
} from '../../src/process/replication/_lib/timings/index.js';
import { DurableStorage } from '../../src/process/storage/DurableStorage/index.js';
import SimulatedDisk from '../SimulatedDisk/index.js';
import { createSeededRandom } from '../createSeededRandom/index.js';
import { unwrapResult } from '../unwrapResult/index.js';

/** A clock that a test sets. */
export interface TestClock {
  nowMs: number;
}

/** Disk identity of a test replica; 36 characters. */
export const TEST_IDENTITY = 'c1------------------------------disk';

export const TEST_CLUSTER = 'cluster-1';

/** Encodes a change as the payload of a log entry. */
export const encodeChange = (change: LogChange['change']): Uint8Array =>
  toBinary(LogChangeSchema, create(LogChangeSchema, { change }));

/** Encodes a membership in which the members c1 to c3 vote. */
export const encodeMembership = (): Uint8Array =>
  encodeChange({
    case: 'membership',
    value: create(MembershipSchema, {
      clusterId: TEST_CLUSTER,
      members: ['c1', 'c2', 'c3'].map((memberId) => ({
        memberId,
        diskIdentity: memberId === 'c1' ? TEST_IDENTITY : `disk-of-${memberId}`,
        address: `${memberId}:1`,
        isVoter: true,
      })),
    }),
  });

/**
 * Opens a member named c1 on a simulated disk, with a clock that a test sets.
 *
 * @param disk - can be passed again to reopen the replica after a restart
 * @param clock - source of the current time
 */
export const createTestReplica = async (
  disk: SimulatedDisk = new SimulatedDisk(createSeededRandom(1)),
  clock: TestClock = { nowMs: 1_000_000 },
): Promise<{ replica: Replica; disk: SimulatedDisk; clock: TestClock }> => {
  const opened = await DurableStorage.open('/data', {
    files: disk,
    createIdentity: () => TEST_IDENTITY,
  });
  const replica = new Replica(unwrapResult(opened), {
    dataCentre: '',
    memberId: 'c1',
    timings: DEFAULT_TIMINGS,
    limits: DEFAULT_LIMITS,
    readNowMs: () => clock.nowMs,
    random: () => 0.5,
    metrics: new MetricsRegistry(),
  });
  return { replica, disk, clock };
};
