/** Nodes and backend servers on loopback with a shared in-memory directory, for request tests. */
import { createServer, request as sendRequest } from 'node:http';

import { createServer as createHttp2Server } from 'node:http2';

import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import type {
  Agent,
  IncomingHttpHeaders,
  OutgoingHttpHeaders,
  RequestListener,
  Server,
} from 'node:http';
import type { ServerHttp2Session } from 'node:http2';
import type { AddressInfo, Server as Listener } from 'node:net';
import type { ConnectRouter } from '@connectrpc/connect';
import {
  ConfigurationSchema,
  RouteSchema,
  ServiceSchema,
} from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { AnnouncedState, LocalServers } from '../../src/process/localServers/index.js';
import { MetricsRegistry } from '../../src/process/metrics/index.js';
import { RequestServer } from '../../src/request/index.js';
import TestDirectory from './TestDirectory.js';

import type { Route, Service } from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import type { Announcement, LocalServersOptions } from '../../src/process/localServers/index.js';
import type { RequestServerOptions } from '../../src/request/index.js';
import type { CompiledConfiguration } from '../../src/version/compileConfiguration/types.js';

/** Creates a configuration with the matching rules of section 6. */
export const compileForTest = (
  routes: Route[],
  services: Service[],
  version = 1,
): CompiledConfiguration => ({
  configuration: create(ConfigurationSchema, { version, routes, services }),
  version,
  needsKeys: false,
  findWorkspace: () => undefined,
  findWorkspaceByKeyId: () => undefined,
  findService: (name) => services.find((service) => service.name === name),
  matchRoute: (host, path, method) =>
    routes
      .filter((route) => route.host === '*' || route.host === host)
      .filter((route) => path.startsWith(route.pathPrefix) && route.methods.includes(method))
      .toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length)[0],
});

export const createRoute = (fields: Partial<Omit<Route, '$typeName'>>): Route =>
  create(RouteSchema, {
    name: 'all',
    host: '*',
    pathPrefix: '/',
    methods: ['GET', 'HEAD', 'PUT', 'DELETE'],
    idempotent: true,
    timeoutMs: 20_000,
    maxAttempts: 3,
    targets: [{ service: 'desk', weightPercent: 100 }],
    ...fields,
  });

/** Creates an idempotent route for reads, a non-idempotent one for `POST /orders`, and uploads. */
export const createDeskRoutes = (): Route[] => [
  createRoute({ name: 'lookups' }),
  createRoute({
    name: 'orders',
    pathPrefix: '/orders',
    methods: ['POST'],
    idempotent: false,
    maxAttempts: 1,
  }),
  createRoute({ name: 'uploads', pathPrefix: '/uploads', methods: ['POST'], maxAttempts: 1 }),
];

export interface TestNode {
  nodeId: string;
  address: string;
  localServers: LocalServers;
  requestServer: RequestServer;
  metrics: MetricsRegistry;
  /** Closes the listener for other nodes and its sessions, as if the process had ended. */
  stopPeer: () => void;
}

export interface TestBackend {
  serverId: string;
  address: string;
  server: Server;
  announcement: Announcement;
  node: TestNode;
}

export interface TestReply {
  status: number;
  headers: IncomingHttpHeaders;
  trailers: NodeJS.Dict<string>;
  body: string;
  /** False when the connection ended before the response did. */
  isComplete: boolean;
}

export interface SendOptions {
  method?: string;
  path?: string;
  headers?: OutgoingHttpHeaders;
  body?: string | Buffer;
  signal?: AbortSignal;
  /** A new connection is used by default. */
  agent?: Agent;
}

/** Listens on a free port of the loopback address; returns `host:port`. */
export const listenOnLoopback = async (server: Listener): Promise<string> => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Sends one request, by default on a new connection; rejects if no response head arrives. */
export const send = (address: string, options: SendOptions = {}): Promise<TestReply> =>
  new Promise((resolve, reject) => {
    const { body, ...rest } = options;
    const request = sendRequest(`http://${address}`, { agent: false, ...rest }, (response) => {
      const chunks: Buffer[] = [];
      const finish = (): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          trailers: response.trailers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        });
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => undefined);
      response.on('close', finish);
    });
    request.on('error', reject);
    request.end(body);
  });

/** Nodes and backend servers of one test. */
export class TestMesh {
  readonly directory = new TestDirectory();

  configuration: CompiledConfiguration | undefined = compileForTest(createDeskRoutes(), [
    create(ServiceSchema, { name: 'desk', timeoutMs: 20_000 }),
  ]);

  readonly #backends: Server[] = [];

  readonly #nodes: TestNode[] = [];

  /** Starts a node that reads the shared directory. */
  async startNode(
    nodeId: string,
    options: Partial<RequestServerOptions> & {
      incarnation?: bigint;
      servers?: Partial<LocalServersOptions>;
    } = {},
  ): Promise<TestNode> {
    const dataCentre = options.dataCentre ?? 'a';
    const localServers = new LocalServers({
      nodeId,
      dataCentre,
      incarnation: options.incarnation ?? 1n,
      // Tests announce only once; expiry is tested elsewhere.
      leaseMs: 600_000,
      ...options.servers,
    });
    const metrics = new MetricsRegistry();
    const requestServer = new RequestServer({
      nodeId,
      dataCentre,
      current: () => this.configuration,
      directory: this.directory,
      localServers,
      metrics,
      listen: '127.0.0.1:0',
      forwardListen: '127.0.0.1:0',
      drainGraceMs: 0,
      ...options,
    });
    const { listen, forwardListen } = await requestServer.start();
    const routes = (router: ConnectRouter) => requestServer.registerPeerServices(router);
    const peer = createHttp2Server(connectNodeAdapter({ routes }));
    const sessions = new Set<ServerHttp2Session>();
    peer.on('session', (session) => sessions.add(session));
    const peerAddress = await listenOnLoopback(peer);
    const stopPeer = (): void => {
      sessions.forEach((session) => session.destroy());
      peer.close();
    };
    localServers.setAddresses({ forwardAddress: forwardListen, peerAddress });
    this.directory.nodes.set(nodeId, localServers);
    const node = { nodeId, address: listen, localServers, requestServer, metrics, stopPeer };
    this.#nodes.push(node);
    return node;
  }

  /** Starts a backend server and announces it to the node beside it. */
  async startBackend(
    node: TestNode,
    listener: RequestListener,
    announcement: Partial<Announcement> = {},
  ): Promise<TestBackend> {
    const server = createServer((request, response) => {
      // Probes by the node do not reach the listener, so that tests can count executed requests.
      if (request.url !== '/health' && request.url !== '/load') {
        listener(request, response);
        return;
      }
      response.statusCode = 404;
      response.end();
    });
    this.#backends.push(server);
    const address = await listenOnLoopback(server);
    return this.announce(node, server, address, announcement);
  }

  /** Announces an address, whether or not a server listens there. */
  announce(
    node: TestNode,
    server: Server,
    address: string,
    fields: Partial<Announcement> = {},
  ): TestBackend {
    const serverId = `desk-${address.split(':')[1]}`;
    const announcement: Announcement = {
      service: 'desk',
      address,
      slots: 20,
      connections: 100,
      state: AnnouncedState.Serving,
      ...fields,
    };
    node.localServers.announce(serverId, announcement, Date.now());
    return { serverId, address, server, announcement, node };
  }

  async stop(): Promise<void> {
    this.#nodes.forEach((node) => node.stopPeer());
    await Promise.all(this.#nodes.map((node) => node.requestServer.stop()));
    await Promise.all(
      this.#backends.map(
        (server) =>
          new Promise((resolve) => {
            server.close(resolve);
            server.closeAllConnections();
          }),
      ),
    );
  }
}
