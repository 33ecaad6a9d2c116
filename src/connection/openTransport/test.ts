import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session } from 'node:http2';
import type { AddressInfo } from 'node:net';

import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import tap from 'tap';

import { ReplicationService } from '../../_generated/foxtailvane/v1/replication_pb.js';
import { openTransport } from './index.js';
import type { OpenedTransport } from './index.js';

const ROUNDS = 200;
const MAX_TURNS = 20;

interface Peer {
  opened: OpenedTransport;
  client: Client<typeof ReplicationService>;
}

const listen = (server: Http2Server): Promise<number> =>
  new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve((server.address() as AddressInfo).port));
  });

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

// The session manager of connect-es removes its error listener from a session that it has just
// destroyed, before the session reports the error; the process then ended with an uncaught error.
tap.test('a session that ends during a request or a close raises no uncaught error', async (t) => {
  const sessions = new Set<ServerHttp2Session>();
  const adapter = connectNodeAdapter({
    routes: (router) => {
      router.service(ReplicationService, { describe: () => ({ memberId: 'c1' }) });
    },
  });
  const server = createServer(adapter);
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  const port = await listen(server);
  t.teardown(() => {
    sessions.forEach((session) => session.destroy());
    server.close();
  });
  const rounds = Array.from({ length: ROUNDS }, (_, position) => position % MAX_TURNS);
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
