import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { WorkspaceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { QuotaShareSchema } from '../../_generated/foxtailvane/v1/distribution_pb.js';
import createRandom from '../../../test/requestMesh/createRandom.js';
import WorkspaceLimiter from './index.js';

import type { WorkspaceLimiterOptions } from './index.js';

const createWorkspace = (ratePerSecond: number) =>
  create(WorkspaceSchema, { name: 'harbour', ratePerSecond, burst: ratePerSecond });

const createLimiter = (options: Partial<WorkspaceLimiterOptions> = {}) =>
  new WorkspaceLimiter({
    bounds: { windowS: 5, overage: 0.1, slack: 20 },
    countNodes: () => 10,
    random: () => 0.999,
    ...options,
  });

const adoptShare = (limiter: WorkspaceLimiter, ratePerSecond: number, burst: number): void => {
  const share = create(QuotaShareSchema, { workspace: 'harbour', ratePerSecond, burst });
  limiter.adopt({ shares: [share] }, 0);
};

interface Sending {
  count: number;
  intervalMs: number;
  isConfirmed?: boolean;
}

/** Sends requests at even intervals and returns how many are admitted. */
const countAdmitted = (
  limiter: WorkspaceLimiter,
  { count, intervalMs, isConfirmed = true }: Sending,
): number =>
  Array.from({ length: count }).filter(
    (_, index) => !limiter.admit(createWorkspace(100), index * intervalMs, isConfirmed),
  ).length;

// Guards against a node that uses the whole quota before it has heard from a control VM.
tap.test('a node without shares uses an even part of a large quota', async (t) => {
  t.equal(countAdmitted(createLimiter(), { count: 100, intervalMs: 1 }), 10);
});

// Guards against a share below one request that is never used, or used by each of many nodes.
tap.test('shares below one request are used in the sum over nodes', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const admitted = Array.from({ length: 2_000 }).filter(() => {
    const limiter = createLimiter({ random });
    adoptShare(limiter, 0.05, 0.25);
    return !limiter.admit(createWorkspace(100), 0, true);
  });
  t.ok(Math.abs(admitted.length - 500) < 100, `${admitted.length} of 2,000 are admitted`);
});

// Guards against shares that stay in full use after their control VM has gone.
tap.test('a node that is not confirmed uses part of its share', async (t) => {
  const limiter = createLimiter();
  adoptShare(limiter, 10, 2);
  const admitted = countAdmitted(limiter, { count: 100, intervalMs: 100, isConfirmed: false });
  t.ok(admitted > 50 && admitted < 70, `${admitted} of 100 are admitted`);
});

// Guards against a request that is charged although it reached no server.
tap.test(
  'a token that is given back serves another request and is reported as returned',
  async (t) => {
    const limiter = createLimiter();
    adoptShare(limiter, 0.001, 1);
    t.equal(limiter.admit(createWorkspace(100), 0, true), undefined);
    t.equal(limiter.admit(createWorkspace(100), 1, true)?.retryAfterMs, 5_000);
    limiter.giveBack('harbour');
    t.equal(limiter.admit(createWorkspace(100), 3, true), undefined);
    t.match(limiter.collectUsage(), [{ offered: 3n, admitted: 2n, returned: 1n }]);
  },
);

// Guards against state for workspaces that have no limit or no requests.
tap.test('a workspace without a limit has no state', async (t) => {
  const limiter = createLimiter();
  t.equal(limiter.admit(createWorkspace(0), 0, true), undefined);
  t.strictSame(limiter.collectUsage(), []);
});
