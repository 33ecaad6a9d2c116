/** Runs one backend server; prints its ports as one JSON line and drains on SIGTERM. */
import { serve } from '@hono/node-server';
import { Command } from 'commander';
import { Hono } from 'hono';

import type { AddressInfo } from 'node:net';
import { BackendServer } from './index.js';

import type { BackendServerOptions, FaultSettings } from './index.js';

const NUMBER_FLAGS: [flag: string, help: string][] = [
  ['--port <n>', 'port; 0 lets the system choose'],
  ['--slots <n>', 'concurrent requests'],
  ['--connections <n>', 'connection limit'],
  ['--new-connection-ms <n>', 'time that a new connection costs'],
  ['--probe-ms <n>', 'time that a probe costs'],
  ['--service-ms <n>', 'time that a request costs at speed factor 1'],
  ['--speed-factor <n>', 'divides the service time'],
  ['--cold-start-ms <n>', 'time after the start in which requests take longer'],
  ['--cold-factor <n>', 'multiplier of the service time at the start'],
  ['--lease-ms <n>', 'lease of the announcement'],
  ['--drain-ms <n>', 'shortest time between announcing draining and leaving'],
];

const command = new Command('backend-server')
  .requiredOption('--server-id <id>')
  .requiredOption('--service <name>')
  .requiredOption('--record-file <file>', 'file for the executed requests')
  .option('--node-url <url>', "base URL of the node's local_listen")
  .option('--host <ip>', 'address to listen on')
  .option('--announced-address <host:port>', 'address to announce instead of the listener')
  .option('--no-is-direct', 'does not offer its address for calls with a slot grant')
  .option('--nested-url <url>', "URL for nested calls on the node's listen")
  .option('--nested-host <host>', 'host header of nested calls');
NUMBER_FLAGS.forEach(([flag, help]) => command.option(flag, help, Number));
const options = command.parse().opts<Omit<BackendServerOptions, 'terminate'>>();

const server = new BackendServer({
  ...options,
  terminate: () => process.kill(process.pid, 'SIGKILL'),
});
await server.start();

const admin = new Hono();
admin.get('/state', (context) => context.json(server.describe()));
admin.put('/faults', async (context) => {
  server.setFaults(await context.req.json<Partial<FaultSettings>>());
  return context.json(server.describe());
});
const adminServer = serve(
  { fetch: admin.fetch, hostname: '127.0.0.1', port: 0 },
  (address: AddressInfo) => {
    process.stdout.write(`${JSON.stringify({ port: server.port, adminPort: address.port })}\n`);
  },
);

process.once('SIGTERM', () => {
  server
    .drain()
    .catch(() => {
      process.exitCode = 1;
    })
    .finally(() => adminServer.close());
});
