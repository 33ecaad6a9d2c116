import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { NodeRecordSchema, ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import { RolloutSchema, RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { RolloutPolicy } from '../../../request/chooseVersion/index.js';
import { compileForTest, createRoute } from '../../../../test/requestMesh/index.js';
import { explainRoute } from './explainRoute.js';

const ROLLOUT = { service: 'desk', targetVersion: 'v2', sharePermille: 50 };
const QUERY = { host: 'a.example', path: '/', method: 'GET' };

const ENTRIES = ['v1', 'v2', 'v3'].map((softwareVersion, index) => {
  const bornAtMs = BigInt(index + 1);
  const server = { softwareVersion, state: ServerState.SERVING, bornAtMs };
  const node = create(NodeRecordSchema, { nodeId: 'n1', servers: [server] });
  return { node, server: node.servers[0]! };
});

const explain = (stage: RolloutStage) => {
  const rollouts = [create(RolloutSchema, { ...ROLLOUT, stage })];
  const versions = new RolloutPolicy({
    rollouts: { listOf: () => rollouts },
    isConfirmed: () => true,
    random: () => 0,
  });
  const compiled = compileForTest([createRoute({})], []);
  const { targets } = explainRoute(compiled, { serversOf: () => ENTRIES }, QUERY, versions);
  return targets[0]?.candidates.map(({ canBeChosen, reason }) => [canBeChosen, reason]);
};

// Guards against an operator who looks for requests at servers whose version gets none.
tap.test('explain names the version that requests use, and why', async (t) => {
  t.strictSame(explain(RolloutStage.CANARY), [
    [true, 'serving (OUTSIDE_SHARE)'],
    [true, 'version v2 gets at most 50 of 1000 requests'],
    [false, 'requests use version v1 (OUTSIDE_SHARE)'],
  ]);
  t.strictSame(explain(RolloutStage.COMPLETED), [
    [false, 'requests use version v2 (COMPLETED)'],
    [true, 'serving (COMPLETED)'],
    [false, 'requests use version v2 (COMPLETED)'],
  ]);
});
