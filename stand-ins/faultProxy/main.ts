/** Runs one fault proxy; prints its address, admin port and seed. `PUT /link` sets the fault. */
import { serve } from '@hono/node-server';
import { Command } from 'commander';
import { Hono } from 'hono';

import type { AddressInfo } from 'node:net';
import { FaultProxy } from './index.js';

import type { LinkSettings } from './index.js';

const options = new Command('fault-proxy')
  .requiredOption('--target <host:port>')
  .option('--port <n>', 'port; 0 lets the system choose', Number)
  .option('--seed <n>', 'drawn when unset', Number)
  .parse()
  .opts<{ target: string; port?: number; seed?: number }>();

const proxy = new FaultProxy(options.target, options);
const address = await proxy.start();

const admin = new Hono();
admin.get('/bytes', (context) => context.json(proxy.bytes));
admin.put('/link', async (context) => {
  proxy.setLink(await context.req.json<Partial<LinkSettings>>());
  return context.json(proxy.bytes);
});
serve({ fetch: admin.fetch, hostname: '127.0.0.1', port: 0 }, (info: AddressInfo) => {
  const line = { address, adminPort: info.port, seed: proxy.seed };
  process.stdout.write(`${JSON.stringify(line)}\n`);
});
