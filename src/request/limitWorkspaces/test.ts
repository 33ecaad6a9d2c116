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
  /** Whether a control VM renews the shares before each request. */
  isRenewed?: boolean;
}

/** Sends requests at even intervals and returns how many are admitted. */
const countAdmitted = (
  limiter: WorkspaceLimiter,
  { count, intervalMs, isConfirmed = true, isRenewed = false }: Sending,
): number =>
  Array.from({ length: count }).filter((_, index) => {
    if (isRenewed) limiter.renew(index * intervalMs);
    return !limiter.admit(createWorkspace(100), index * intervalMs, isConfirmed);
  }).length;

// Guards against a node that uses the whole quota before it has heard from a control VM.
tap.test('a node without shares uses an even part of a large quota', async (t) => {
  t.equal(countAdmitted(createLimiter(), { count: 100, intervalMs: 1 }), 1, 'at its start');
  // An even part of the rate and of the burst is 60 in five seconds.
  const admitted = countAdmitted(createLimiter(), { count: 500, intervalMs: 10 });
  t.ok(admitted > 40 && admitted <= 60, `${admitted} in the first window`);
});

// Guards against shares that stay in use while nobody counts what the nodes admit together.
tap.test('a node whose share is not renewed uses its reserve', async (t) => {
  const limiter = createLimiter();
  limiter.renew(-20_000);
  adoptShare(limiter, 1_000, 1_000);
  const sending = { count: 1_000, intervalMs: 1 };
  t.equal(countAdmitted(limiter, { ...sending, isRenewed: true }), 1_000);
  limiter.release();
  const refusal = limiter.admit(createWorkspace(100), 1_000, true);
  t.match(refusal, { isFromReserve: true, retryAfterMs: 1_000 }, 'the window is used up');
  const silent = createLimiter();
  silent.renew(-20_000);
  adoptShare(silent, 1_000, 1_000);
  t.notOk(silent.admit(createWorkspace(100), 550, true));
  const later = Array.from({ length: 500 }).filter(
    (_, index) => !silent.admit(createWorkspace(100), 551 + index, true),
  );
  t.ok(later.length > 40 && later.length <= 60, `${later.length} from the reserve`);
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
  const sending = { count: 100, intervalMs: 100, isConfirmed: false, isRenewed: true };
  const admitted = countAdmitted(limiter, sending);
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
