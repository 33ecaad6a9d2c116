/** Control processes, nodes and workers on loopback addresses, with an operator. */
import { randomUUID } from 'node:crypto';
import { mkdtemp, rm } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

import exchange from './exchange.js';
import Program from './Program.js';
import Worker from './Worker.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const START_TIMEOUT_MS = 30_000;
const POLL_MS = 100;
const OPERATOR_TIMEOUT_MS = 1_000;

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Draws ports that are free on all addresses. */
const findPorts = async (ips) => {
  const first = 20_000 + Math.floor(Math.random() * 10_000);
  const ports = {
    ...{ app: first, inbound: first + 1, outbound: first + 2, ready: first + 3 },
    ...{ control: first + 4, internal: first + 5 },
  };
  const numbers = [0, 1, 2, 3, 4, 5, 6].map((offset) => first + offset);
  const free = await Promise.all(ips.flatMap((ip) => numbers.map((number) => isFree(ip, number))));
  return free.every(Boolean) ? ports : findPorts(ips);
};

export const waitFor = async (what, isDone, timeoutMs = START_TIMEOUT_MS) => {
  const endMs = performance.now() + timeoutMs;
  while (!(await isDone())) {
    if (performance.now() > endMs) throw new Error(`timeout: ${what}`);
    await sleep(POLL_MS);
  }
};

export default class System {
  #folder;

  /**
   * @param nodeServices - service of the worker beside each node
   * @param workerOptions - further options of the worker with that index
   */
  async start(nodeServices, workerOptions = () => ({})) {
    this.#folder = await mkdtemp(join(tmpdir(), 'review-'));
    const net = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const controlIps = ZONES.map((_, index) => `${net}.${index + 1}`);
    const nodeIps = nodeServices.map((_, index) => `${net}.${index + 11}`);
    const ports = await findPorts([...controlIps, ...nodeIps]);
    const shared = { ports, seedIps: controlIps, folder: this.#folder };
    this.controls = controlIps.map(
      (ip, index) => new Program({ ...shared, role: 'control', ip, zone: ZONES[index] }),
    );
    this.nodes = nodeIps.map((ip, index) => {
      const zone = ZONES[index % ZONES.length];
      return new Program({ ...shared, role: 'node', ip, zone, service: nodeServices[index] });
    });
    this.workers = this.nodes.map(
      (node, index) =>
        new Worker({
          ...{ id: `i-${index}`, service: nodeServices[index], zone: ZONES[index % ZONES.length] },
          ...{ address: node.address('app'), control: node.address('control') },
          ...workerOptions(index),
        }),
    );
    await Promise.all([...this.controls, ...this.nodes].map((program) => program.start()));
    await Promise.all(this.workers.map((worker) => worker.start()));
  }

  /** Sends a configuration to the control processes in turn until one answers it for good. */
  async replaceConfiguration(document) {
    let status;
    let turn = 0;
    await waitFor('answer to a configuration', async () => {
      const control = this.controls[turn % this.controls.length];
      turn += 1;
      ({ status } = await exchange(control.address('control'), {
        ...{ method: 'POST', path: '/-/rpc?call=configuration.replace' },
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(document),
        timeoutMs: OPERATOR_TIMEOUT_MS,
      }));
      return status !== undefined && status < 500;
    });
    return status;
  }

  /** Waits until every node is ready and knows the workers of every service. */
  async waitUntilServing() {
    await this.waitUntilReady();
    await Promise.all(
      this.workers.map((worker) =>
        waitFor('acknowledged heartbeat', async () => (await worker.sendHeartbeat()) === 200),
      ),
    );
    const services = [...new Set(this.nodes.map(({ service }) => service))];
    const isServed = async (node, service) => {
      const headers = { host: 'shop.example', 'attempt-id': randomUUID() };
      const { status } = await exchange(node.address('outbound'), {
        path: `/${service}/start`,
        headers: { ...headers, 'deadline-remaining': '1000' },
      });
      return status === 200;
    };
    await Promise.all(
      this.nodes.flatMap((node) =>
        services.map((service) => waitFor(`${service} served`, () => isServed(node, service))),
      ),
    );
  }

  async isReady(node) {
    const { status } = await exchange(node.address('ready'), { path: '/-/readiness' });
    return status === 200;
  }

  waitUntilReady(nodes = this.nodes) {
    return Promise.all(nodes.map((node) => waitFor('ready nodes', () => this.isReady(node))));
  }

  /** Ends all processes that it started. */
  async stop() {
    const programs = [...(this.controls ?? []), ...(this.nodes ?? [])];
    await Promise.all(
      programs.map(async (program) => {
        await program.signal('SIGCONT');
        await program.signal('SIGKILL');
      }),
    );
    await Promise.all((this.workers ?? []).map((worker) => worker.stop().catch(() => undefined)));
    if (this.#folder) await rm(this.#folder, { recursive: true, force: true });
  }
}
