import tap from 'tap';

import ShareComputer from './index.js';

import type { NodeUsage, Quota, UsageCount } from '../types.js';

const NODES = 90;
const ROUND_MS = 250;
const QUOTAS: Quota[] = Array.from({ length: 86 }, (_, index) => ({
  name: `w${index}`,
  ratePerSecond: 5,
  burst: 5,
}));

// Guards against control VMs that use up their processor: every computation read the counts of all
// workspaces at all nodes, several times per second.
tap.test('a computation reads only the counts that have changed', async (t) => {
  let readCount = 0;
  const createCount = (workspace: string, offered: bigint): UsageCount => ({
    workspace,
    get offered() {
      readCount += 1;
      return offered;
    },
    admitted: 0n,
    returned: 0n,
  });
  const createNode = (index: number, seenAtMs: number): NodeUsage => ({
    nodeId: `n${index}`,
    memberId: `c${index % 3}`,
    incarnation: 1n,
    usage: QUOTAS.map(({ name }) => createCount(name, 1n)),
    seenAtMs,
  });
  const computer = new ShareComputer({
    memberId: 'c0',
    bounds: { windowS: 5, overage: 0.1, slack: 20 },
    keyLifetimeMs: 3_000,
  });
  const nodes = Array.from({ length: NODES }, (_, index) => createNode(index, ROUND_MS));
  const update = (reported: NodeUsage[], nowMs: number): number => {
    const before = readCount;
    const input = { quotas: QUOTAS, isConfirmed: true, silentMemberIds: new Set<string>() };
    computer.update({ ...input, nodes: reported }, nowMs);
    return readCount - before;
  };
  t.equal(update(nodes, ROUND_MS), NODES * QUOTAS.length, 'the first reports are read');
  const changed = nodes.map((node, index) => ({
    ...node,
    usage: node.usage.map((count, at) =>
      at === index % 3 ? createCount(count.workspace, 2n) : count,
    ),
    seenAtMs: 2 * ROUND_MS,
  }));
  t.equal(update(changed, 2 * ROUND_MS), NODES, 'one count of each node is read');
  t.equal(update(changed, 3 * ROUND_MS), 0, 'reports without changes are not read');
});
