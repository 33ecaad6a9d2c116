import { create } from '@bufbuild/protobuf';
import { createClient, createRouterTransport } from '@connectrpc/connect';
import tap from 'tap';

import { FakeControlLog } from '../../../../stand-ins/FakeControlLog/index.js';
import { waitUntil } from '../../../../stand-ins/distributionCluster/index.js';
import {
  AttachRequestSchema,
  DistributionService,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { NodeRecordSchema } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import { DistributionHub } from './index.js';

const NODE_ID = 'node-1';
const TIMING = { heartbeatIntervalMs: 20, silenceMs: 100 };

const hello = create(AttachRequestSchema, {
  kind: {
    case: 'hello',
    value: { nodeId: NODE_ID, record: create(NodeRecordSchema, { nodeId: NODE_ID, sequence: 1 }) },
  },
});

// Guards against a node that counts as attached forever, and whose silence is logged at each heartbeat,
// because a message to it waits for a connection that nobody reads any more.
tap.test('a silent node is detached although it does not read its messages', async (t) => {
  const hub = new DistributionHub('control-1', new FakeControlLog(), TIMING);
  t.teardown(() => hub.stop());
  const transport = createRouterTransport((router) => hub.registerRoutes(router));
  const stop = new AbortController();
  t.teardown(() => stop.abort());
  const requests = async function* send() {
    yield hello;
    await new Promise((resolve) => {
      stop.signal.addEventListener('abort', resolve);
    });
  };
  const messages = createClient(DistributionService, transport).attach(requests(), {
    signal: stop.signal,
  });
  hub.start();
  const first = await messages[Symbol.asyncIterator]().next();
  t.equal(first.done, false);
  t.ok(hub.isAttached(NODE_ID));
  await waitUntil('the node is detached', () => !hub.isAttached(NODE_ID), 5_000).catch(() =>
    t.fail('the node is still attached'),
  );
  t.equal(hub.sessionCount, 0);
});
