/** Process of the forwarding benchmark; the first message sets its role. */
import { createServer } from 'node:http';

import { create, fromJson, toJson } from '@bufbuild/protobuf';

import type { AddressInfo } from 'node:net';
import type { JsonValue } from '@bufbuild/protobuf';
import {
  ConfigurationSchema,
  RouteSchema,
  ServiceSchema,
} from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import { NodeRecordSchema } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import { AnnouncedState, LocalServers } from '../../src/process/localServers/index.js';
import { MetricsRegistry } from '../../src/process/metrics/index.js';
import { RequestServer, RoundRobinSelector } from '../../src/request/index.js';
import { Role } from './_lib/messages.js';

import type { NodeRecord } from '../../src/_generated/foxtailvane/v1/endpoints_pb.js';
import type { CompiledConfiguration } from '../../src/version/compileConfiguration/types.js';
import type { StartMessage, StartedMessage } from './_lib/messages.js';

const BACKEND_COUNT = 4;
const RESPONSE_BYTES = 300;
const TIMEOUT_MS = 2_000;
const LEASE_MS = 3_600_000;

const metrics = new MetricsRegistry();

const startBackend = async (): Promise<string> => {
  const body = Buffer.alloc(RESPONSE_BYTES, 'x');
  const server = createServer((_, response) => {
    response.writeHead(200, {
      'content-type': 'text/plain',
      'content-length': RESPONSE_BYTES,
    });
    response.end(body);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createConfiguration = (service: string): CompiledConfiguration => {
  const route = create(RouteSchema, {
    name: service,
    host: '*',
    pathPrefix: '/',
    methods: ['GET'],
    idempotent: true,
    timeoutMs: TIMEOUT_MS,
    maxAttempts: 2,
    targets: [{ service, weightPercent: 100 }],
  });
  const services = [create(ServiceSchema, { name: service, timeoutMs: TIMEOUT_MS })];
  return {
    configuration: create(ConfigurationSchema, { version: 1, services, routes: [route] }),
    version: 1,
    findService: () => services[0],
    needsKeys: false,
    findWorkspace: () => undefined,
    findWorkspaceByKeyId: () => undefined,
    matchRoute: (_, path) => (path.startsWith('/') ? route : undefined),
  };
};

const startNode = async (
  nodeId: string,
  options: { service: string; records: NodeRecord[]; isRoundRobin: boolean },
) => {
  const localServers = new LocalServers({
    nodeId,
    dataCentre: 'a',
    incarnation: 1n,
    leaseMs: LEASE_MS,
  });
  const configuration = createConfiguration(options.service);
  const entries = options.records.flatMap((node) =>
    node.servers
      .filter((server) => server.service === options.service)
      .map((server) => ({ server, node })),
  );
  const requestServer = new RequestServer({
    nodeId,
    dataCentre: 'a',
    current: () => configuration,
    directory: { serversOf: () => entries, records: () => options.records },
    localServers,
    metrics,
    listen: '127.0.0.1:0',
    forwardListen: '127.0.0.1:0',
    ...(options.isRoundRobin ? { createSelector: () => new RoundRobinSelector() } : {}),
  });
  const { listen, forwardListen } = await requestServer.start();
  localServers.setAddresses({ forwardAddress: forwardListen, peerAddress: '' });
  return { localServers, listen };
};

const startOwners = async (message: StartMessage): Promise<StartedMessage> => {
  const nodes = await Promise.all(
    ['owner-1', 'owner-2'].map((nodeId) =>
      startNode(nodeId, { service: 'none', records: [], isRoundRobin: false }),
    ),
  );
  message.backends?.forEach((backend, index) => {
    const announcement = {
      service: backend.service,
      address: backend.address,
      slots: 20,
      connections: 130,
      state: AnnouncedState.Serving,
      ...(backend.isDirect ? { directAddress: backend.address } : {}),
    };
    nodes[index % nodes.length]?.localServers.announce(`s${index}`, announcement, Date.now());
  });
  return {
    records: nodes.map((node) => toJson(NodeRecordSchema, node.localServers.record())),
  };
};

const startEntry = async (message: StartMessage): Promise<StartedMessage> => {
  const records = (message.records ?? []).map((record) =>
    fromJson(NodeRecordSchema, record as JsonValue),
  );
  const { listen } = await startNode(`entry-${process.pid}`, {
    service: message.service ?? '',
    records,
    isRoundRobin: message.isRoundRobin ?? false,
  });
  return { addresses: [listen] };
};

const startRole = async (message: StartMessage): Promise<StartedMessage> => {
  switch (message.role) {
    case Role.Backends:
      return { addresses: await Promise.all(Array.from({ length: BACKEND_COUNT }, startBackend)) };
    case Role.Owners:
      return startOwners(message);
    default:
      return startEntry(message);
  }
};

const readUsage = () => {
  const { user, system } = process.cpuUsage();
  return {
    cpuUs: user + system,
    directCount: metrics.counter('requests_direct').value,
    residentBytes: process.memoryUsage.rss(),
  };
};

process.on('message', (message: StartMessage | 'usage') => {
  if (message === 'usage') {
    process.send?.({ usage: readUsage() });
    return;
  }
  startRole(message).then(
    (started) => process.send?.({ started }),
    (error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exitCode = 1;
      process.disconnect();
    },
  );
});
// Open listeners and connections would keep the process running after the benchmark.
process.on('disconnect', () => process.kill(process.pid));
