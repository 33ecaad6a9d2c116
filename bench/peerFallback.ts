/**
 * Compares gossip with a bounded fanout to a relay tree for nodes that cannot reach a control VM.
 *
 * Measures the time until all nodes have a one-row change, and the message bytes, by default with
 * 100 nodes on loopback in one process.
 *
 * Run: npm run build && node dist/bench/peerFallback.js [nodes]
 */
import { setTimeout as sleep } from 'node:timers/promises';

import { create, toBinary } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';

import { chooseSeed, createSeededRandom } from '../stand-ins/createSeededRandom/index.js';
import {
  buildRecord,
  buildSizedConfiguration,
  startPeerNode,
} from '../stand-ins/distributionCluster/index.js';
import { ConfigurationDeltaSchema } from '../src/_generated/foxtailvane/v1/configuration_pb.js';
import {
  GossipRequestSchema,
  PeerService,
} from '../src/_generated/foxtailvane/v1/distribution_pb.js';
import ByteMeter from '../src/connection/distribution/_lib/ByteMeter.js';
import { PeerGossip } from '../src/connection/distribution/PeerGossip/index.js';
import { openTransport } from '../src/connection/openTransport/index.js';
import { startRpcServer } from '../src/connection/startRpcServer/index.js';
import { EndpointDirectory } from '../src/process/endpoints/EndpointDirectory/index.js';
import { ConfigurationHolder } from '../src/process/holder/ConfigurationHolder/index.js';
import { LogLevel, setLogLevel } from '../src/process/log/index.js';
import { createDelta } from '../src/version/createDelta/index.js';

import type { RpcServer } from '../src/connection/startRpcServer/index.js';

const CHANGES = 5;
const TIME_LIMIT_MS = 10_000;
const CHANGE_INTERVAL_MS = 2_000;
/** Time for the gossip rounds that follow the start to complete. */
const SETTLE_MS = 8_000;
const IDLE_MS = 4_000;
const CALL_TIMEOUT_MS = 1_000;
const TREE_DEGREE = 3;
/** Address without a listener: the port is reserved and never assigned by the system. */
const UNREACHABLE_CONTROL = { address: '127.0.0.1:1', dataCentre: 'dc1' };

const nodeCount = Number(process.argv[2] ?? 100);
const seed = chooseSeed();
const random = createSeededRandom(seed);

/** Nodes that distribute a version among themselves, and their traffic. */
interface Mesh {
  holders: ConfigurationHolder[];
  /** Bytes sent by all nodes so far; each message is counted at its sender. */
  readBytes: () => number;
  stopNode: (index: number) => Promise<void>;
  stop: () => Promise<void>;
}

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const countSentBytes = (meter: ByteMeter): number =>
  ['gossip', 'snapshot', 'delta'].reduce((sum, kind) => sum + meter.read('sent', kind), 0);

const buildVersion = (version: number) =>
  buildSizedConfiguration(version, { firstTimeoutMs: version });

const startGossip = async (fanout: number): Promise<Mesh> => {
  const options = { random, gossipFanout: fanout };
  const first = await startPeerNode('node-000', [UNREACHABLE_CONTROL], options);
  const others = await Promise.all(
    Array.from({ length: nodeCount - 1 }, (_, index) =>
      startPeerNode(`node-${String(index + 1).padStart(3, '0')}`, [UNREACHABLE_CONTROL], {
        ...options,
        peerSeeds: [first.peerAddress],
      }),
    ),
  );
  const nodes = [first, ...others];
  // Merges the records directly, because a cold start of many nodes in one process takes long.
  const records = nodes.flatMap((node) => node.directory.find(node.nodeId) ?? []);
  nodes.forEach((node) => records.forEach((record) => node.directory.merge(record, Date.now())));
  const isComplete = (): boolean =>
    nodes.every((node) => node.directory.records().length === nodeCount);
  while (!isComplete()) await sleep(100);
  return {
    holders: nodes.map((node) => node.holder),
    readBytes: () => nodes.reduce((sum, node) => sum + node.link.meter.read('sent', 'gossip'), 0),
    stopNode: async (index) => nodes[index]?.stop(),
    stop: async () => {
      await Promise.all(nodes.map((node) => node.stop()));
    },
  };
};

/** Node of the relay tree that forwards each version to its children. */
class RelayNode {
  readonly holder = new ConfigurationHolder();

  readonly meter = new ByteMeter(undefined, 'tree');

  readonly #index: number;

  readonly #addresses: string[];

  #server: RpcServer | undefined;

  constructor(index: number, addresses: string[]) {
    this.#index = index;
    this.#addresses = addresses;
  }

  async start(): Promise<void> {
    const nodeId = `node-${this.#index}`;
    const directory = new EndpointDirectory({ ownNodeId: nodeId });
    directory.merge(buildRecord(nodeId), Date.now());
    // Only the listener is used; nodes of the tree start no gossip rounds.
    const gossip = new PeerGossip(
      {
        nodeId,
        dataCentre: 'dc1',
        holder: this.holder,
        directory,
        meter: this.meter,
        seeds: [],
        isAttached: () => true,
        onSuperseded: () => undefined,
      },
      {
        now: Date.now,
        random,
        tls: () => undefined,
        intervalMs: TIME_LIMIT_MS,
        fanout: 0,
        callTimeoutMs: CALL_TIMEOUT_MS,
      },
    );
    const routes: Parameters<typeof startRpcServer>[1]['routes'] = (router) =>
      gossip.registerRoutes(router);
    this.#server = await startRpcServer('127.0.0.1:0', { routes });
    this.#addresses[this.#index] = this.#server.address;
    this.holder.onInstalled(({ version }) => this.#relay(version, this.#index));
  }

  async stop(): Promise<void> {
    await this.#server?.close();
  }

  #relay(version: number, parent: number): void {
    const delta = createDelta(buildVersion(version - 1), buildVersion(version));
    if (version === 1 || delta.isErr()) return;
    const bytes = toBinary(ConfigurationDeltaSchema, delta.value);
    Array.from({ length: TREE_DEGREE }, (_, child) => parent * TREE_DEGREE + 1 + child)
      .filter((child) => child < this.#addresses.length)
      .forEach((child) => {
        // If a child is lost, its parent sends the version to the children of the lost node.
        this.#push(child, version, bytes).catch(() => this.#relay(version, child));
      });
  }

  async #push(child: number, version: number, bytes: Uint8Array): Promise<void> {
    const { transport, close } = openTransport(this.#addresses[child] ?? '');
    const request = create(GossipRequestSchema, {
      nodeId: `node-${this.#index}`,
      version,
      contentHash: this.holder.current()?.configuration.contentHash ?? new Uint8Array(),
      configuration: { case: 'delta', value: bytes },
    });
    this.meter.countSent(GossipRequestSchema, request, { case: 'delta' });
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    await createClient(PeerService, transport).gossip(request, options).finally(close);
  }
}

const startTree = async (): Promise<Mesh> => {
  const addresses: string[] = Array.from({ length: nodeCount }, () => '');
  const nodes = addresses.map((_, index) => new RelayNode(index, addresses));
  await Promise.all(nodes.map((node) => node.start()));
  const version = buildVersion(1);
  nodes.forEach((node) => node.holder.install(version, Date.now()));
  return {
    holders: nodes.map((node) => node.holder),
    readBytes: () => nodes.reduce((sum, node) => sum + countSentBytes(node.meter), 0),
    stopNode: async (index) => nodes[index]?.stop(),
    stop: async () => {
      await Promise.all(nodes.map((node) => node.stop()));
    },
  };
};

const waitForAll = async (holders: ConfigurationHolder[], version: number): Promise<number> => {
  const startedAtMs = performance.now();
  const isDone = (): boolean => holders.every((holder) => holder.current()?.version === version);
  while (!isDone() && performance.now() - startedAtMs < TIME_LIMIT_MS) await sleep(1);
  return isDone() ? performance.now() - startedAtMs : Infinity;
};

const summarize = (values: number[]): string => {
  const sorted = values.toSorted((left, right) => left - right);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return `p50 ${median.toFixed(0)}, max ${(sorted.at(-1) ?? 0).toFixed(0)}`;
};

const measure = async (name: string, mesh: Mesh, lost: number[]): Promise<void> => {
  const [first] = mesh.holders;
  first?.install(buildVersion(1), Date.now());
  await waitForAll(mesh.holders, 1);
  await Promise.all(lost.map((index) => mesh.stopNode(index)));
  const alive = mesh.holders.filter((_, index) => !lost.includes(index));
  await sleep(SETTLE_MS);
  const idleBefore = mesh.readBytes();
  await sleep(IDLE_MS);
  const idleBytes = (mesh.readBytes() - idleBefore) / alive.length / (IDLE_MS / 1_000);
  const timesMs: number[] = [];
  const bytes: number[] = [];
  for (let version = 2; version < 2 + CHANGES; version += 1) {
    const before = mesh.readBytes();
    first?.install(buildVersion(version), Date.now());
    timesMs.push(await waitForAll(alive, version));
    await sleep(CHANGE_INTERVAL_MS);
    const idleShare = (CHANGE_INTERVAL_MS + (timesMs.at(-1) ?? 0)) / 1_000;
    bytes.push((mesh.readBytes() - before) / alive.length - idleBytes * idleShare);
  }
  print(
    `${name}, ${lost.length} lost: time to all, ms: ${summarize(timesMs)}; ` +
      `bytes per node and change: ${summarize(bytes)}; idle ${idleBytes.toFixed(0)} bytes/s per node`,
  );
  await mesh.stop();
};

setLogLevel(LogLevel.Error);
print(`nodes ${nodeCount}, one-row change, ${CHANGES} changes each, seed ${seed}`);
// Every tenth node, including inner nodes of the tree, but not the first, which makes the changes.
const everyTenth = Array.from({ length: Math.floor(nodeCount / 10) }, (_, index) => index * 10 + 1);
await measure('gossip, fanout 3', await startGossip(3), []);
await measure('relay tree, degree 3', await startTree(), []);
await measure('gossip, fanout 3', await startGossip(3), everyTenth);
await measure('relay tree, degree 3', await startTree(), everyTenth);
