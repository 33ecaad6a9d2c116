import { Server as HttpServer } from 'node:http';
import { Server } from 'node:net';

import { Hono } from 'hono';
import tap from 'tap';

import type { Test } from 'tap';
import { unwrapResult } from '../../../stand-ins/unwrapResult/index.js';
import { TestMesh } from '../../../test/requestMesh/index.js';
import { serveHttp } from '../../process/daemon/serveHttp/index.js';
import canConnect from '../canConnect/index.js';
import { startRpcServer } from '../startRpcServer/index.js';

/** Number of ENOBUFS in libuv; the error of a system that is short of memory for sockets. */
const ENOBUFS = -105;
const ERRORS = 3;
const CONNECT_TIMEOUT_MS = 1_000;

/** Part of a server that the runtime calls with the outcome of each attempt to accept a connection. */
interface AcceptingServer {
  _handle: { onconnection: (status: number) => void };
  address: () => { address: string; port: number };
}

/** Starts listeners and returns all servers that began to listen meanwhile. */
const collectServers = async (start: () => Promise<unknown>): Promise<AcceptingServer[]> => {
  const servers = new Set<unknown>();
  const { emit } = Server.prototype;
  Object.assign(Server.prototype, {
    emit(this: Server, ...parameters: [string, ...unknown[]]): boolean {
      if (parameters[0] === 'listening') servers.add(this);
      return Reflect.apply(emit, this, parameters);
    },
  });
  try {
    await start();
  } finally {
    Object.assign(Server.prototype, { emit });
  }
  return [...servers] as AcceptingServer[];
};

interface Start {
  /** Number of servers. */
  count: number;
  start: (t: Test) => Promise<unknown>;
}

const STARTS: Record<string, Start> = {
  'callers and other nodes': {
    count: 2,
    start: async (t) => {
      const mesh = new TestMesh();
      t.teardown(() => mesh.stop());
      await mesh.startNode('n1');
    },
  },
  'the APIs of a process': {
    count: 1,
    start: async (t) => {
      const listener = unwrapResult(await serveHttp(new Hono(), '127.0.0.1:0'));
      t.teardown(() => listener.close());
    },
  },
  'calls of other processes': {
    count: 1,
    start: async (t) => {
      const server = await startRpcServer('127.0.0.1:0', { routes: () => undefined });
      t.teardown(() => server.close());
    },
  },
};

// Guards against a process that ends because the system can't accept a connection at the moment.
Object.entries(STARTS).forEach(([title, { count, start }]) =>
  tap.test(`a listener for ${title} outlives errors of accepting`, async (t) => {
    const started = await collectServers(() => start(t));
    // The mesh also starts a server of the test and one of the check of orderly ends.
    const servers = count === 1 ? started : started.filter((one) => one instanceof HttpServer);
    t.equal(servers.length, count);
    await Promise.all(
      servers.map(async (server) => {
        // What the runtime does when the system returns an error.
        const { _handle: handle } = server;
        Array.from({ length: ERRORS }, () => handle.onconnection(ENOBUFS));
        const { address, port } = server.address();
        t.ok(await canConnect(`${address}:${port}`, CONNECT_TIMEOUT_MS));
      }),
    );
  }),
);
