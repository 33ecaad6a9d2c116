/** Control VMs and nodes in one process, on loopback ports chosen by the system. */
import type { ConnectRouter } from '@connectrpc/connect';
import { ControlExchange } from '../../src/connection/distribution/ControlExchange/index.js';
import { DistributionHub } from '../../src/connection/distribution/DistributionHub/index.js';
import { NodeLink } from '../../src/connection/distribution/NodeLink/index.js';
import { UNLISTED_RECORD_MS } from '../../src/connection/distribution/timing.js';
import { startRpcServer } from '../../src/connection/startRpcServer/index.js';
import { EndpointDirectory } from '../../src/process/endpoints/EndpointDirectory/index.js';
import { ConfigurationHolder } from '../../src/process/holder/ConfigurationHolder/index.js';
import { buildRecord } from '../records/index.js';
import FakeControlLog from './FakeControlLog.js';

import type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import type { ExchangePeer } from '../../src/connection/distribution/ControlExchange/index.js';
import type { HubOptions } from '../../src/connection/distribution/DistributionHub/index.js';
import type {
  ControlTarget,
  NodeLinkOptions,
  NodeLinkParts,
} from '../../src/connection/distribution/NodeLink/index.js';
import type { TlsStore } from '../../src/process/tls/TlsStore/index.js';
import type { RpcServer } from '../../src/connection/startRpcServer/index.js';

export { default as FakeControlLog } from './FakeControlLog.js';
export * from '../configurations/index.js';
export * from '../records/index.js';

/** One control VM under test. */
export interface TestControl {
  memberId: string;
  address: string;
  dataCentre: string;
  log: FakeControlLog;
  hub: DistributionHub;
  exchange: ControlExchange;
  /** Ends the process as a crash does. */
  stop: () => Promise<void>;
}

export interface TestControlOptions extends HubOptions {
  dataCentre?: string;
  /** Bound address; port 0 by default. */
  address?: string;
  log?: FakeControlLog;
  listPeers?: () => ExchangePeer[];
  tlsStore?: TlsStore;
}

/** Starts one control VM. */
export const startControl = async (
  memberId: string,
  options: TestControlOptions = {},
): Promise<TestControl> => {
  const log = options.log ?? new FakeControlLog();
  const hub = new DistributionHub(memberId, log, options);
  const { tlsStore } = options;
  const exchange = new ControlExchange(memberId, hub, options.listPeers ?? (() => []), {
    ...options,
    tls: () => tlsStore?.current(),
  });
  const server: RpcServer = await startRpcServer(options.address ?? '127.0.0.1:0', {
    routes: (router) => {
      hub.registerRoutes(router);
      exchange.registerRoutes(router);
    },
    tls: tlsStore,
  });
  hub.start();
  exchange.start();
  const stop = async (): Promise<void> => {
    hub.stop();
    await exchange.stop();
    await server.close();
  };
  const dataCentre = options.dataCentre ?? 'dc1';
  return { memberId, address: server.address, dataCentre, log, hub, exchange, stop };
};

/** Source of the record that a node announces; tests change the record. */
export class TestRecordSource {
  #record: NodeRecord;

  readonly #listeners = new Set<(record: NodeRecord) => void>();

  constructor(record: NodeRecord) {
    this.#record = record;
  }

  record(): NodeRecord {
    return this.#record;
  }

  onChanged(listener: (record: NodeRecord) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Changes fields of the record and notifies the listeners. */
  change(fields: Partial<NodeRecord>): void {
    this.#record = { ...this.#record, ...fields };
    this.#listeners.forEach((listener) => listener(this.#record));
  }
}

/** One node under test. */
export interface TestNode {
  nodeId: string;
  link: NodeLink;
  holder: ConfigurationHolder;
  directory: EndpointDirectory;
  source: TestRecordSource;
  /** host:port of the listener for peers; empty without one. */
  peerAddress: string;
  /** Ends the process as a crash does. */
  stop: () => Promise<void>;
}

export interface TestNodeOptions extends NodeLinkOptions {
  dataCentre?: string;
  record?: NodeRecord;
  peerSeeds?: string[];
  /** Lease of records that the control VM does not list. */
  unlistedRecordMs?: number;
  /** Reused over restarts to prepare a state; in production it does not outlive the process. */
  holder?: ConfigurationHolder;
  tlsStore?: TlsStore;
  parts?: Pick<NodeLinkParts, 'trafficSource' | 'rolloutHolder' | 'quotaHolder'>;
}

const createNode = (
  nodeId: string,
  controls: ControlTarget[],
  options: TestNodeOptions,
): TestNode => {
  const dataCentre = options.dataCentre ?? 'dc1';
  const holder = options.holder ?? new ConfigurationHolder();
  const leaseMs = options.unlistedRecordMs ?? UNLISTED_RECORD_MS;
  const directory = new EndpointDirectory({ leaseMs, ownNodeId: nodeId });
  const source = new TestRecordSource(options.record ?? buildRecord(nodeId, { dataCentre }));
  const peerSeeds = options.peerSeeds ?? [];
  const parts = {
    nodeId,
    dataCentre,
    controls,
    holder,
    directory,
    recordSource: source,
    peerSeeds,
    ...options.parts,
  };
  const { tlsStore } = options;
  const link = new NodeLink(parts, { ...options, tls: () => tlsStore?.current() });
  return { nodeId, link, holder, directory, source, peerAddress: '', stop: () => link.stop() };
};

/** Starts one node that peers cannot reach. */
export const startNode = (
  nodeId: string,
  controls: ControlTarget[],
  options: TestNodeOptions = {},
): TestNode => {
  const node = createNode(nodeId, controls, options);
  node.link.start();
  return node;
};

/** Starts one node with a listener for peers. */
export const startPeerNode = async (
  nodeId: string,
  controls: ControlTarget[],
  options: TestNodeOptions = {},
): Promise<TestNode> => {
  const node = createNode(nodeId, controls, options);
  const routes = (router: ConnectRouter): void => node.link.registerRoutes(router);
  const server = await startRpcServer('127.0.0.1:0', { routes, tls: options.tlsStore });
  node.source.change({ peerAddress: server.address });
  node.link.start();
  const stop = async (): Promise<void> => {
    await node.link.stop();
    await server.close();
  };
  return { ...node, peerAddress: server.address, stop };
};

const POLL_MS = 5;

/**
 * Waits until a condition holds.
 *
 * @param description - condition in words, for the error
 * @param timeoutMs - timeout in milliseconds, far above the expected time
 * @throws Error after the timeout
 */
export const waitUntil = async (
  description: string,
  condition: () => boolean,
  timeoutMs = 30_000,
): Promise<void> => {
  const deadlineMs = Date.now() + timeoutMs;
  while (!condition()) {
    if (Date.now() > deadlineMs) throw new Error(`not reached in ${timeoutMs} ms: ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};
