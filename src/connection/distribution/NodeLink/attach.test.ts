/** Attaching over links and to control VMs that are slower than the timeouts. */
import { connect, createServer } from 'node:net';

import type { AddressInfo, Socket } from 'node:net';
import { create, toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import { ConfigurationSchema } from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import {
  AttachResponseSchema,
  DistributionService,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import {
  buildSizedConfiguration,
  startControl,
  startNode,
  waitUntil,
} from '../../../../stand-ins/distributionCluster/index.js';
import { splitAddress } from '../../splitAddress/index.js';
import { startRpcServer } from '../../startRpcServer/index.js';
import computePatience from '../_lib/computePatience.js';

const ATTACH_TIMEOUT_MS = 100;
const SLOW_RESPONSE_MS = 300;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against a restarted node that never attaches while its VM is slow: each attempt ended at the
// same timeout and started from nothing.
tap.test('a control VM slower than the attach timeout is reached in a later attempt', async (t) => {
  const server = await startRpcServer('127.0.0.1:0', {
    routes: (router) =>
      router.service(DistributionService, {
        async *attach(messages) {
          await sleep(SLOW_RESPONSE_MS);
          const value = { version: 0, isConfirmed: true };
          yield create(AttachResponseSchema, { kind: { case: 'heartbeat', value } });
          for await (const message of messages) message.kind satisfies unknown;
        },
      }),
  });
  const node = startNode('node-1', [{ address: server.address, dataCentre: 'dc1' }], {
    timing: { attachTimeoutMs: ATTACH_TIMEOUT_MS, backoffBaseMs: 5, backoffCapMs: 20 },
  });
  t.teardown(async () => {
    await node.stop();
    await server.close();
  });
  await waitUntil('attached', () => node.link.attachedTo !== undefined, 10_000);
  t.pass();
});

const CHUNK_BYTES = 4_096;
const CHUNK_INTERVAL_MS = 20;

interface SlowLink {
  address: string;
  close: () => void;
}

/** Forwards what the target sends in small chunks, as a link of low bandwidth does. */
const startSlowLink = async (target: string): Promise<SlowLink> => {
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const { host, port } = splitAddress(target);
    const upstream = connect(port, host);
    [client, upstream].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => socket.destroy());
    });
    client.pipe(upstream);
    const forward = async (): Promise<void> => {
      for await (const data of upstream) {
        const bytes = data as Buffer;
        for (let offset = 0; offset < bytes.length; offset += CHUNK_BYTES) {
          client.write(bytes.subarray(offset, offset + CHUNK_BYTES));
          await sleep(CHUNK_INTERVAL_MS);
        }
      }
      client.end();
    };
    forward().catch(() => client.destroy());
    client.on('close', () => upstream.destroy());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const close = (): void => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return { address: `127.0.0.1:${port}`, close };
};

// Guards against a node behind a link of low bandwidth that gives up in the middle of each snapshot.
tap.test('a snapshot that takes longer than the silence limit is received in one go', async (t) => {
  const control = await startControl('control-1', { heartbeatIntervalMs: 50, silenceMs: 20_000 });
  const configuration = buildSizedConfiguration(1, { routes: 6_000 });
  control.log.commit(configuration, Date.now());
  const slowLink = await startSlowLink(control.address);
  const node = startNode('node-1', [{ address: slowLink.address, dataCentre: 'dc1' }], {
    timing: { attachTimeoutMs: 1_000, silenceMs: 1_000, heartbeatIntervalMs: 50 },
  });
  t.teardown(async () => {
    await node.stop();
    slowLink.close();
    await control.stop();
  });
  await waitUntil('the version in force', () => node.holder.current()?.version === 1, 30_000);
  const snapshotBytes = toBinary(ConfigurationSchema, configuration).length;
  t.ok(
    control.hub.meter.read('sent', 'snapshot') < 2 * snapshotBytes,
    'the snapshot was sent once, so no attempt was given up',
  );
});

tap.test('patience doubles with each failed round up to a limit', (t) => {
  t.same([0, 1, 2, 3, 4, 100].map(computePatience), [1, 2, 4, 8, 8, 8]);
  t.end();
});
