/** Control VMs, and nodes with a worker each, on machines of the platform. */
import waitFor from '../waitFor/index.js';
import { callControl, sendAttempt } from './clients.js';
import PlatformMachine, { PlatformProgram } from './PlatformMachine.js';
import type { PlatformMachineOptions } from './PlatformMachine.js';
import PlatformWorker from './PlatformWorker.js';
import type { PlatformWorkerOptions } from './PlatformWorker.js';

const HTTP_OK = 200;

export interface PlatformClusterOptions {
  controlIps: string[];
  nodeIps: string[];
  /** Services of the workers beside the nodes, which take turns. */
  services: string[];
  /** Zones of the control VMs, and of the nodes, which take turns. */
  zones: string[];
  /** Further options of all machines. */
  machine?: Partial<PlatformMachineOptions>;
  /** Further options of the machines of nodes. */
  node?: Partial<PlatformMachineOptions>;
  /** Returns further options of the worker with that index. */
  findWorkerOptions?: (index: number) => Partial<PlatformWorkerOptions>;
}

export default class PlatformCluster {
  readonly controls: PlatformMachine[];

  readonly nodes: PlatformMachine[];

  readonly workers: PlatformWorker[];

  readonly #services: string[];

  constructor(options: PlatformClusterOptions) {
    const { controlIps, nodeIps, services, zones, machine, node } = options;
    const findZone = (index: number): string => zones[index % zones.length] ?? '';
    const findService = (index: number): string => services[index % services.length] ?? '';
    const shared = { seedIps: controlIps, ...machine };
    this.#services = services;
    this.controls = controlIps.map(
      (ip, index) =>
        new PlatformMachine({
          ...{ ...shared, program: PlatformProgram.Control, ip, zone: findZone(index) },
        }),
    );
    this.nodes = nodeIps.map(
      (ip, index) =>
        new PlatformMachine({
          ...{ ...shared, ...node, program: PlatformProgram.Node, ip },
          ...{ zone: findZone(index), service: findService(index) },
        }),
    );
    this.workers = this.nodes.map(
      (beside, index) =>
        new PlatformWorker({
          ...{ instanceId: `i-${index}`, service: findService(index), zone: findZone(index) },
          ...{ address: beside.address('app'), control: beside.address('control') },
          ...options.findWorkerOptions?.(index),
        }),
    );
  }

  /** Starts the workers, then all programs at the same time. */
  async start(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.start()));
    await Promise.all([...this.nodes, ...this.controls].map((machine) => machine.start()));
  }

  /** Stops the workers, kills all programs and removes their folders. */
  async stop(): Promise<void> {
    await Promise.all(this.workers.map((worker) => worker.stop()));
    await Promise.all([...this.controls, ...this.nodes].map((machine) => machine.remove()));
  }

  /** Sends a configuration to all control VMs until one acknowledges it. */
  async applyConfiguration(document: object): Promise<void> {
    await waitFor('acknowledged configuration', async () => {
      const replies = this.controls.map((control) =>
        callControl(control.address('control'), 'configuration.replace', document),
      );
      return (await Promise.any(replies)).status === HTTP_OK;
    });
  }

  /** Waits until each node serves lookups of all services. */
  async waitUntilServing(): Promise<void> {
    await Promise.all(
      this.nodes.map((node) =>
        waitFor(`requests served at ${node.ip}`, async () => {
          const replies = await Promise.all(
            this.#services.map((service) =>
              sendAttempt(node.address('outbound'), { path: `/${service}/1` }),
            ),
          );
          return replies.every(({ status }) => status === HTTP_OK);
        }),
      ),
    );
  }
}
