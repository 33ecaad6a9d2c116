import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { connect, createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server as TcpServer, Socket } from 'node:net';

import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import tap from 'tap';

import { ReplicationService } from '../../_generated/foxtailvane/v1/replication_pb.js';
import { openTransport } from './index.js';
import type { OpenedTransport } from './index.js';

const ROUND_COUNT = 200;
const MAX_TURNS = 20;

interface Peer {
  opened: OpenedTransport;
  client: Client<typeof ReplicationService>;
}

const listen = (server: Http2Server | TcpServer): Promise<number> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

const createPeerServer = (): Http2Server =>
  createServer(
    connectNodeAdapter({
      routes: (router) => {
        router.service(ReplicationService, { describe: () => ({ memberId: 'c1' }) });
      },
    }),
  );

/** Waits for a number of turns of the event loop. */
const waitTurns = async (count: number): Promise<void> => {
  if (count === 0) return;
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  await waitTurns(count - 1);
};

const openPeer = (port: number): Peer => {
  const opened = openTransport(`127.0.0.1:${port}`);
  return { opened, client: createClient(ReplicationService, opened.transport) };
};

const succeeds = (peer: Peer): Promise<boolean> =>
  peer.client.describe({}).then(
    () => true,
    () => false,
  );

// Guards against an uncaught error that ends the process: the session manager of connect-es removes
// its error listener from a session that it destroys, before the session emits the error.
tap.test('a session that ends during a request or a close raises no uncaught error', async (t) => {
  const sessions = new Set<ServerHttp2Session>();
  const server = createPeerServer();
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  const port = await listen(server);
  t.teardown(() => {
    sessions.forEach((session) => session.destroy());
    server.close();
  });
  const rounds = Array.from({ length: ROUND_COUNT }, (_, position) => position % MAX_TURNS);
  const outcomes = await rounds.reduce(async (previous: Promise<boolean[]>, turns) => {
    const earlier = await previous;
    const requesting = openPeer(port);
    const closing = openPeer(port);
    await Promise.all([succeeds(requesting), succeeds(closing)]);
    sessions.forEach((session) => session.destroy());
    await waitTurns(turns);
    closing.opened.close();
    await succeeds(requesting);
    const isAnswered = await succeeds(requesting);
    requesting.opened.close();
    return [...earlier, isAnswered];
  }, Promise.resolve([]));
  t.ok(outcomes.every(Boolean), 'a later request opens a new session');
});

/** A TCP proxy that can stop forwarding and end its connections. */
const createProxy = (targetPort: number) => {
  const state = { isFrozen: false, sockets: new Set<Socket>() };
  const server = createTcpServer((client) => {
    const target = connect(targetPort, '127.0.0.1');
    const pass = (to: Socket) => (chunk: Buffer) => {
      if (!state.isFrozen) to.write(chunk);
    };
    client.on('data', pass(target)).on('error', () => target.destroy());
    target.on('data', pass(client)).on('error', () => client.destroy());
    client.on('close', () => target.destroy());
    state.sockets.add(client);
  });
  return { server, state };
};

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

// Guards against requests that wait forever: the check of an idle session by connect-es does not end
// if the session closes without an error.
tap.test('a session closed while it is checked does not block later requests', async (t) => {
  const server = createPeerServer();
  const proxy = createProxy(await listen(server));
  const port = await listen(proxy.server);
  const pingIntervalMs = 100;
  const opened = openTransport(`127.0.0.1:${port}`, { pingIntervalMs, pingTimeoutMs: 500 });
  const client = createClient(ReplicationService, opened.transport);
  t.teardown(() => {
    opened.close();
    proxy.state.sockets.forEach((socket) => socket.destroy());
    proxy.server.close();
    server.close();
  });
  await client.describe({});
  await pause(pingIntervalMs * 3);
  proxy.state.isFrozen = true;
  const checked = client.describe({}).catch(() => undefined);
  await pause(pingIntervalMs);
  proxy.state.sockets.forEach((socket) => socket.end());
  proxy.state.isFrozen = false;
  await checked;
  const outcomes = await Array.from({ length: 5 }).reduce(async (previous: Promise<string[]>) => {
    const earlier = await previous;
    await pause(pingIntervalMs * 3);
    const outcome = await client.describe({}).then(
      ({ memberId }) => memberId,
      () => 'failed',
    );
    return [...earlier, outcome];
  }, Promise.resolve([]));
  t.strictSame(outcomes.slice(1), ['c1', 'c1', 'c1', 'c1'], 'later requests succeed');
});

const MAX_RESPONSE_BYTES = 8 * 1_024 * 1_024;
/** Parts that are on their way when the limit is reached. */
const MAX_EXCESS_BYTES = 2 * 1_024 * 1_024;
const PART = Buffer.alloc(65_536);

// Guards against a process whose memory ends as another one responds without end.
tap.test('a response without end is given up at the limit', { timeout: 20_000 }, async (t) => {
  let sentBytes = 0;
  const server = createServer((_, response) => {
    const send = (): void => {
      if (response.stream.destroyed) return;
      sentBytes += PART.length;
      response.write(PART, () => setImmediate(send));
    };
    response.on('error', () => undefined);
    response.writeHead(200, { 'content-type': 'application/proto' });
    send();
  });
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', (session) => sessions.add(session));
  const { opened, client } = openPeer(await listen(server));
  t.teardown(() => {
    opened.close();
    sessions.forEach((session) => session.destroy());
    server.close();
  });
  const error = await client.describe({}).catch((reason: unknown) => ConnectError.from(reason));
  t.ok(error instanceof ConnectError && error.code === Code.ResourceExhausted, String(error));
  t.ok(sentBytes < MAX_RESPONSE_BYTES + MAX_EXCESS_BYTES, `${sentBytes} bytes sent`);
});
