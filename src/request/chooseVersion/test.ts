import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { NodeRecordSchema } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { RolloutSchema, RolloutStage } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import { createSeededRandom } from '../../../stand-ins/createSeededRandom/index.js';
import { Reach, RolloutPolicy, VersionReason } from './index.js';

import type { Rollout } from '../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { ServerEntry } from '../../process/endpoints/types.js';
import type { VersionChoice } from './index.js';

const SERVICE = 'desk';

const buildEntries = (version: string, count: number, bornAtMs: number): ServerEntry[] =>
  Array.from({ length: count }, (_, index) => {
    const server = {
      serverId: `${version}-${index}`,
      softwareVersion: version,
      bornAtMs: BigInt(bornAtMs + index),
    };
    const node = create(NodeRecordSchema, { nodeId: `n-${version}-${index}`, servers: [server] });
    return { node, server: node.servers[0]! };
  });

const OLD = buildEntries('v1', 20, 1_000);
const NEW = buildEntries('v2', 20, 9_000);

const order = (id: number, targetVersion: string, stage: RolloutStage, share = 0): Rollout =>
  create(RolloutSchema, { id, service: SERVICE, targetVersion, stage, sharePermille: share });

interface TestNode {
  policy: RolloutPolicy;
  rollouts: Rollout[];
  isConfirmed: boolean;
}

const createNode = (rollouts: Rollout[], random: () => number = () => 0): TestNode => {
  const node = { rollouts, isConfirmed: true } as TestNode;
  node.policy = new RolloutPolicy({
    rollouts: { listOf: () => node.rollouts },
    isConfirmed: () => node.isConfirmed,
    random,
  });
  return node;
};

const listVersions = ({ entries }: VersionChoice): string[] => [
  ...new Set(entries.map(({ server }) => server.softwareVersion)),
];

const readVersions = (node: TestNode, live: ServerEntry[]): string[] =>
  listVersions(node.policy.choose(SERVICE, live, true));

const sendRequest = (
  { policy }: TestNode,
  live: ServerEntry[],
  findReach: (choice: VersionChoice) => Reach = () => Reach.Certain,
): VersionChoice => {
  const choice = policy.choose(SERVICE, live, true);
  policy.charge(choice);
  policy.recordAttempt(SERVICE, choice, findReach(choice));
  return choice;
};

// Guards against requests to a version whose servers run beside the others but was never ordered.
tap.test('without a roll-out, the version that has been serving longest is used', async (t) => {
  const node = createNode([]);
  t.strictSame(readVersions(node, [...NEW, ...OLD]), ['v1']);
  const restarted = buildEntries('v1', 1, 20_000);
  t.strictSame(
    readVersions(node, [...NEW, ...restarted]),
    ['v1'],
    'also after its servers restart',
  );
  t.strictSame(readVersions(node, NEW), ['v2'], 'another one if none is left');
  const unstated = buildEntries('', 2, 0);
  t.strictSame(readVersions(createNode([]), [...OLD, ...unstated]), ['v1', '']);
  t.strictSame(readVersions(createNode([]), [...OLD, ...NEW, ...unstated]), ['v1']);
});

tap.test('each stage allows the servers of one version', async (t) => {
  const read = (stage: RolloutStage, live: ServerEntry[]): string[] =>
    readVersions(createNode([order(1, 'v2', stage)]), live);
  const both = [...OLD, ...NEW];
  t.strictSame(read(RolloutStage.CANARY, both), ['v1'], 'no share of 0');
  t.strictSame(read(RolloutStage.CANARY, NEW), [], 'nor if no other server is live');
  t.strictSame(read(RolloutStage.PROMOTING, both), ['v2']);
  t.strictSame(read(RolloutStage.PROMOTING, OLD), ['v1'], 'until a server of the target is live');
  t.strictSame(read(RolloutStage.COMPLETED, both), ['v2']);
  t.strictSame(read(RolloutStage.COMPLETED, OLD), []);
  t.strictSame(read(RolloutStage.ROLLED_BACK, both), ['v1']);
  t.strictSame(read(RolloutStage.ROLLED_BACK, NEW), []);
});

// Guards against a version of an earlier roll-out that comes back, or is dropped, with the next one.
tap.test('a second roll-out starts from the version that the first one completed', async (t) => {
  const third = buildEntries('v3', 20, 30_000);
  const live = [...OLD, ...NEW, ...third];
  const completed = order(1, 'v2', RolloutStage.COMPLETED);
  const read = (stage: RolloutStage): string[] =>
    readVersions(createNode([completed, order(2, 'v3', stage)]), live);
  t.strictSame(read(RolloutStage.CANARY), ['v2']);
  t.strictSame(read(RolloutStage.ROLLED_BACK), ['v2']);
  t.strictSame(read(RolloutStage.PROMOTING), ['v3']);
  const rolledBack = order(1, 'v2', RolloutStage.ROLLED_BACK);
  const next = createNode([rolledBack, order(2, 'v3', RolloutStage.CANARY)]);
  t.strictSame(readVersions(next, live), ['v1']);
});

// Guards against a node that is cut off, or has just woken, and uses a share that was taken back.
tap.test('an unconfirmed node and a retry use no share', async (t) => {
  const node = createNode([order(1, 'v2', RolloutStage.CANARY, 1_000)], () => 0.999);
  const live = [...OLD, ...NEW];
  sendRequest(node, live);
  const choice = node.policy.choose(SERVICE, live, true);
  t.match(choice, { softwareVersion: 'v2', reason: VersionReason.Canary });
  t.match(node.policy.choose(SERVICE, live, false), { softwareVersion: 'v1', exposure: undefined });
  node.isConfirmed = false;
  t.match(node.policy.choose(SERVICE, live, true), { reason: VersionReason.OutsideShare });
  node.rollouts = [order(1, 'v2', RolloutStage.PROMOTING)];
  t.strictSame(readVersions(node, live), ['v2'], 'a promoted version needs no confirmation');
});

// Guards against a sum over all nodes above the share: by restarts, by demand that moves between
// nodes, by requests that never arrive, and by shares that were saved up while a node was cut off.
tap.test('the target gets its share of the requests that reach the service', async (t) => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const SHARE = 80;
  seeds.forEach((seed) => {
    const random = createSeededRandom(seed);
    const rollouts = [order(1, 'v2', RolloutStage.CANARY, SHARE)];
    const nodes = Array.from({ length: 90 }, () => createNode(rollouts, random));
    let reached = 0;
    let exposed = 0;
    for (let step = 0; step < 8_000; step += 1) {
      // Demand concentrates on a third of the nodes, another one in each phase.
      const first = Math.floor(step / 2_000) * 30;
      const index = random() < 0.7 ? first + Math.floor(random() * 30) : Math.floor(random() * 90);
      if (random() < 0.02) nodes[index % 90] = createNode(rollouts, random);
      const node = nodes[index % 90]!;
      node.isConfirmed = random() > 0.1;
      const isRefused = random() < 0.2;
      const choice = sendRequest(node, [...OLD, ...NEW], () =>
        isRefused ? Reach.None : Reach.Certain,
      );
      if (!isRefused) reached += 1;
      if (!isRefused && choice.exposure) exposed += 1;
    }
    const permille = (1_000 * exposed) / reached;
    t.ok(permille > 0.85 * SHARE, `seed ${seed}: ${permille.toFixed(1)} permille`);
    t.ok(exposed <= (SHARE * reached) / 1_000 + 25, `seed ${seed}: ${exposed} of ${reached}`);
  });
});

// Guards against one node that sends more than its part of the share at once.
tap.test('a node never sends more than its share and a part of one request', async (t) => {
  const random = createSeededRandom(7);
  const node = createNode([order(1, 'v2', RolloutStage.CANARY, 50)], random);
  let exposed = 0;
  const excesses = Array.from({ length: 2_000 }, (_, sent) => {
    node.isConfirmed = sent % 500 > 250;
    if (sendRequest(node, [...OLD, ...NEW]).exposure) exposed += 1;
    return exposed - 0.05 * sent;
  });
  t.ok(Math.max(...excesses) <= 1, `${Math.max(...excesses)}`);
  t.ok(exposed > 40, `${exposed}`);
});

// Guards against requests that were saved up under an earlier share, after the share was taken away.
tap.test('a share of 0 allows no request', async (t) => {
  const node = createNode([order(1, 'v2', RolloutStage.CANARY, 900)], () => 0.999);
  sendRequest(node, [...OLD, ...NEW]);
  node.rollouts = [order(1, 'v2', RolloutStage.CANARY, 0)];
  const choices = Array.from({ length: 50 }, () => sendRequest(node, [...OLD, ...NEW]));
  t.ok(choices.every(({ exposure }) => exposure === undefined));
});

// Guards against a bad version that looks good because each of its servers is nearly idle, and
// against one bad machine that is taken for a bad version.
tap.test('a share goes to the same few servers from every node', async (t) => {
  const choose = (share: number): string[] => {
    const node = createNode([order(1, 'v2', RolloutStage.CANARY, share)], Math.random);
    const choices = Array.from({ length: 100 }, () => sendRequest(node, [...OLD, ...NEW]));
    const exposed = choices.find(({ exposure }) => exposure !== undefined);
    return exposed?.entries.map(({ server }) => server.serverId) ?? [];
  };
  t.equal(choose(50).length, 3);
  t.equal(choose(250).length, 5);
  t.strictSame(choose(250), choose(250));
});
