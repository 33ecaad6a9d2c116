/** Runs control VMs, nodes and backend servers as processes, for tests and experiments. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { request } from 'undici';

import { splitAddress } from '../../src/connection/splitAddress/index.js';
import { readExecutions } from '../backendServer/index.js';
import { chooseSeed } from '../createSeededRandom/index.js';
import { FaultProxy, LinkFault } from '../faultProxy/index.js';
import waitFor from '../waitFor/index.js';
import AddressAllocator from './_lib/AddressAllocator.js';
import findClient from './_lib/findClient.js';
import ManagedProcess from './_lib/ManagedProcess.js';
import { ControlMember } from './_lib/members.js';
import { writeIni } from './_lib/writeIni.js';

import type { ExecutionRecord, FaultSettings } from '../backendServer/index.js';
import type { BackendMember, NodeMember } from './_lib/members.js';
import type { ApplyAnswer, ApplyOptions, ClusterStatus } from './_lib/OperatorClient.js';
import type { IniSections } from './_lib/writeIni.js';

export type { ApplyAnswer, ClusterStatus, NodeVersion } from './_lib/OperatorClient.js';
export type { BackendMember, ControlMember, NodeMember } from './_lib/members.js';

const CONTROL_ENTRY = ['dist/src/process/cli/main.js', 'control'];
const DEFAULT_NODE_ENTRY = 'dist/src/process/cli/main.js node';
const BACKEND_ENTRY = 'dist/stand-ins/backendServer/main.js';
const TOKEN = 'test-operator-token-0123456789abcdef';
const START_TIMEOUT_MS = 60_000;
const START_BATCH_SIZE = 12;
const LOG_TAIL_LENGTH = 600;

/** A process for which settings sections are created. */
export interface SectionOwner {
  name: string;
  role: 'control' | 'node';
  /** IP addresses that other processes connect to. */
  hosts: string[];
  /** Folder of the cluster's settings, data and logs. */
  folder: string;
}

export interface TestClusterOptions {
  dataCentres?: string[];
  controlsPerDataCentre?: number;
  nodesPerDataCentre?: number;
  /** Puts a fault proxy in front of each control VM and the forward and peer listeners of nodes. */
  isProxied?: boolean;
  /** Seed of the proxies; drawn when unset. */
  seed?: number;
  logLevel?: string;
  /** Additional settings sections of all nodes or control VMs. */
  nodeSections?: IniSections;
  controlSections?: IniSections;
  /** Creates additional settings sections of one process. */
  createSections?: (owner: SectionOwner) => IniSections;
  /** Receives the line with the seed and the folder. */
  print?: (line: string) => void;
}

export interface BackendOptions {
  serverId: string;
  service: string;
  /** Additional command line flags, for example `['--service-ms', '20']`. */
  flags?: string[];
  /** Puts a fault proxy in front of the server. */
  isProxied?: boolean;
}

/**
 * A cluster of processes on loopback addresses.
 *
 * @example
 * const cluster = new TestCluster({ dataCentres: ['a', 'b', 'c'], nodesPerDataCentre: 2 });
 * t.teardown(() => cluster.stop());
 * await cluster.start();
 */
export class TestCluster {
  readonly seed: number;

  readonly controls: ControlMember[] = [];

  readonly nodes: NodeMember[] = [];

  readonly backends: BackendMember[] = [];

  readonly folder: string;

  readonly #options: Required<TestClusterOptions>;

  readonly #addresses = new AddressAllocator();

  #proxyCount = 0;

  constructor(options: TestClusterOptions = {}) {
    this.seed = options.seed ?? chooseSeed();
    this.#options = {
      dataCentres: ['dc-1', 'dc-2', 'dc-3'],
      controlsPerDataCentre: 1,
      nodesPerDataCentre: 1,
      isProxied: false,
      logLevel: 'info',
      nodeSections: {},
      controlSections: {},
      createSections: () => ({}),
      print: () => undefined,
      ...options,
      seed: this.seed,
    };
    this.folder = mkdtempSync(join(tmpdir(), 'foxtailvane-'));
    this.#options.print(`cluster seed=${this.seed} folder=${this.folder}`);
  }

  /** Starts the control VMs, waits for a leader, and starts the nodes. */
  async start(): Promise<void> {
    writeFileSync(join(this.folder, 'token'), `${TOKEN}\n`, { mode: 0o600 });
    await this.#planControls();
    await this.#planNodes();
    this.controls.forEach((control) => control.process.start());
    await this.waitForLeader();
    // Starting 100 nodes at once starves the control VMs on the same machine.
    for (let first = 0; first < this.nodes.length; first += START_BATCH_SIZE) {
      const batch = this.nodes.slice(first, first + START_BATCH_SIZE);
      batch.forEach((node) => node.process.start());
      await waitFor('started nodes', () => this.#areConnected(batch), {
        timeoutMs: START_TIMEOUT_MS,
      });
    }
  }

  async #areConnected(nodes: NodeMember[]): Promise<boolean> {
    const status = await this.controls[0]!.operator.readStatus();
    const connected = status.nodes.list.filter((node) => node.isConnected);
    const names = new Set(connected.map((node) => node.nodeId));
    return nodes.every((node) => names.has(node.name));
  }

  /** Kills all processes, stops the proxies and deletes the folder unless `KEEP` is set. */
  async stop(): Promise<void> {
    const processes = [...this.backends, ...this.nodes, ...this.controls].map((one) => one.process);
    await Promise.all(processes.map((one) => one.kill()));
    await Promise.all([
      ...this.#listProxies().map(({ proxy }) => proxy.stop()),
      ...this.backends.map((backend) => backend.proxy?.stop()),
    ]);
    await Promise.all(this.controls.map((control) => control.operator.close()));
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
  }

  /** Waits until a running control VM reports a leader that is running; returns the leader. */
  waitForLeader(timeoutMs = START_TIMEOUT_MS): Promise<ControlMember> {
    const find = async (): Promise<ControlMember | undefined> => {
      const statuses = await Promise.allSettled(
        this.runningControls.map((control) => control.operator.readStatus()),
      );
      const names = statuses.flatMap((one) =>
        one.status === 'fulfilled' && one.value.isConfirmed ? [one.value.leader] : [],
      );
      return this.runningControls.find((control) => names.includes(control.name));
    };
    return waitFor('leader', find, { timeoutMs });
  }

  get runningControls(): ControlMember[] {
    return this.controls.filter((control) => control.process.isRunning);
  }

  get runningNodes(): NodeMember[] {
    return this.nodes.filter((node) => node.process.isRunning);
  }

  /** Returns the control VMs and nodes of one data centre. */
  listDataCentreMembers(dataCentre: string): { controls: ControlMember[]; nodes: NodeMember[] } {
    return {
      controls: this.controls.filter((control) => control.dataCentre === dataCentre),
      nodes: this.nodes.filter((node) => node.dataCentre === dataCentre),
    };
  }

  /** Applies a sheet through the first running control VM; see `ControlMember.operator`. */
  apply(version: number, sheet: string, options: ApplyOptions = {}): Promise<ApplyAnswer> {
    return this.runningControls[0]!.operator.apply(version, sheet, options);
  }

  /** Repeats the apply until the version is accepted, as an operator does after a lost response. */
  async applyUntilAccepted(version: number, sheet: string, timeoutMs = 60_000): Promise<void> {
    await waitFor(
      `acceptance of version ${version}`,
      async () => {
        const answer = await this.apply(version, sheet, { requestId: `version-${version}` });
        if (['ACCEPTED', 'ALREADY_ACCEPTED'].includes(answer.outcome)) return true;
        throw new Error(`${answer.status} ${answer.outcome}: ${answer.message}`);
      },
      { timeoutMs },
    );
  }

  /** Waits until the version is in force on all running or all given nodes; returns the status. */
  waitForVersion(
    version: number,
    options: { timeoutMs?: number; nodes?: NodeMember[] } = {},
  ): Promise<ClusterStatus> {
    const { timeoutMs = 60_000, nodes = this.runningNodes } = options;
    const check = async (): Promise<ClusterStatus | false> => {
      const status = await this.runningControls[0]!.operator.readStatus();
      const versions = new Map(status.nodes.list.map((node) => [node.nodeId, node.version]));
      return nodes.every((node) => versions.get(node.name) === version) && status;
    };
    return waitFor(`version ${version} on ${nodes.length} nodes`, check, { timeoutMs });
  }

  /** Starts a backend server beside a node and waits until it listens. */
  async startBackend(node: NodeMember, options: BackendOptions): Promise<BackendMember> {
    const recordFile = join(this.folder, `records-${options.serverId}`);
    const args = [BACKEND_ENTRY, '--server-id', options.serverId, '--service', options.service];
    args.push('--record-file', recordFile, '--node-url', node.localUrl, ...(options.flags ?? []));
    const listen = await this.#addresses.allocate();
    const [host, port] = listen.split(':') as [string, string];
    args.push('--host', host, '--port', port);
    const proxy = options.isProxied ? new FaultProxy(listen, { seed: this.seed }) : undefined;
    if (proxy !== undefined) args.push('--announced-address', await proxy.start());
    const managed = this.#createProcess(options.serverId, args);
    const { serverId } = options;
    const backend = { serverId, node, process: managed, recordFile, adminUrl: '', proxy };
    this.backends.push(backend);
    await this.restartBackend(backend);
    return backend;
  }

  /** Starts a backend server that has exited, and waits until it listens. */
  async restartBackend(backend: BackendMember): Promise<void> {
    const changed = backend;
    const findStarts = (): RegExpMatchArray[] => {
      const log = backend.process.readLog();
      return [...log.matchAll(/^\{"port":\d+,"adminPort":(\d+)\}$/gm)];
    };
    const earlier = backend.adminUrl === '' ? 0 : findStarts().length;
    backend.process.start();
    const starts = await waitFor(`start of ${backend.serverId}`, () => {
      const found = findStarts();
      if (found.length <= earlier && !backend.process.isRunning) {
        throw new Error(`the process exited: ${backend.process.readLog().slice(-LOG_TAIL_LENGTH)}`);
      }
      return found.length > earlier && found;
    });
    changed.adminUrl = `http://127.0.0.1:${starts.at(-1)![1]}`;
  }

  /** Sets the faults of a backend server; omitted settings are reset to their defaults. */
  async setFaults(backend: BackendMember, faults: Partial<FaultSettings>): Promise<void> {
    const response = await request(`${backend.adminUrl}/faults`, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  /** Waits until every running control VM lists the given number of servers of a service. */
  async waitForServers(service: string, count: number, timeoutMs = 60_000): Promise<void> {
    const check = async (): Promise<boolean> => {
      const counts = await Promise.all(
        this.runningControls.map(async (control) => {
          const servers = await control.operator.read<{ service: string }[]>('/v1/servers');
          return servers.filter((server) => server.service === service).length;
        }),
      );
      return counts.every((found) => found === count);
    };
    await waitFor(`${count} servers of ${service}`, check, { timeoutMs });
  }

  /** Reads the execution records of all backend servers. */
  readExecutions(): ExecutionRecord[] {
    return this.backends.flatMap((backend) => readExecutions(backend.recordFile));
  }

  /** Partitions a data centre from all others, in both directions. */
  partition(dataCentre: string, fault = LinkFault.HalfOpen): void {
    const members = [...this.controls, ...this.nodes];
    this.#listProxies().forEach(({ proxy, dataCentre: proxyDataCentre }) => {
      members
        .filter((member) => (member.dataCentre === dataCentre) !== (proxyDataCentre === dataCentre))
        .forEach((member) => proxy.setLink({ fault }, { client: member.name }));
    });
  }

  /** Clears the faults of all links of control VMs and nodes. */
  heal(): void {
    this.#listProxies().forEach(({ proxy }) => proxy.setLink());
  }

  #listProxies(): { proxy: FaultProxy; dataCentre: string }[] {
    return [
      ...this.controls.map(({ proxy, dataCentre }) => ({ proxy, dataCentre })),
      ...this.nodes.map(({ forwardProxy, dataCentre }) => ({ proxy: forwardProxy, dataCentre })),
      ...this.nodes.map(({ peerProxy, dataCentre }) => ({ proxy: peerProxy, dataCentre })),
    ].flatMap(({ proxy, dataCentre }) => (proxy === undefined ? [] : [{ proxy, dataCentre }]));
  }

  #createProcess(name: string, args: string[]): ManagedProcess {
    return new ManagedProcess(name, args, join(this.folder, `${name}.log`));
  }

  async #identifyClient(clientPort: number, proxyPort: number): Promise<string | undefined> {
    const candidates = [...this.controls, ...this.nodes].map((member) => member.process);
    return (await findClient(clientPort, proxyPort, candidates))?.name;
  }

  async #planControls(): Promise<void> {
    const { dataCentres, controlsPerDataCentre } = this.#options;
    const placements = dataCentres.flatMap((dataCentre) =>
      Array.from({ length: controlsPerDataCentre }, () => dataCentre),
    );
    const plans = await Promise.all(
      placements.map(async (dataCentre, index) => {
        const listen = await this.#addresses.allocate();
        const proxy = await this.#startProxy(listen);
        const operatorListen = await this.#addresses.allocate();
        const name = `control-${index + 1}`;
        return {
          name,
          dataCentre,
          listen,
          operatorListen,
          proxy,
          address: proxy?.address ?? listen,
        };
      }),
    );
    const members = Object.fromEntries(
      plans.map(({ name, dataCentre, address }) => [name, `${dataCentre}, ${address}`]),
    );
    plans.forEach((plan) => this.#addControl(plan, members));
  }

  async #startProxy(target: string): Promise<FaultProxy | undefined> {
    if (!this.#options.isProxied) return undefined;
    this.#proxyCount += 1;
    const proxy = new FaultProxy(target, {
      seed: this.seed + this.#proxyCount,
      identifyClient: (clientPort, proxyPort) => this.#identifyClient(clientPort, proxyPort),
    });
    await proxy.start();
    return proxy;
  }

  #addControl(
    plan: {
      name: string;
      dataCentre: string;
      listen: string;
      operatorListen: string;
      proxy: FaultProxy | undefined;
      address: string;
    },
    members: Record<string, string>,
  ): void {
    const { name, dataCentre, listen, operatorListen, proxy, address } = plan;
    const dataFolder = join(this.folder, `data-${name}`);
    mkdirSync(dataFolder);
    const file = join(this.folder, `${name}.ini`);
    writeIni(file, {
      control: {
        name,
        data_centre: dataCentre,
        region: 'region-1',
        data_folder: dataFolder,
        listen,
        operator_listen: operatorListen,
      },
      members,
      operator: { token_file: join(this.folder, 'token') },
      log: { level: this.#options.logLevel },
      ...this.#options.controlSections,
      ...this.#createSections(name, 'control', [listen]),
    });
    const managed = this.#createProcess(name, [...CONTROL_ENTRY, '--settings', file]);
    const operatorUrl = `http://${operatorListen}`;
    this.controls.push(
      new ControlMember({
        name,
        dataCentre,
        process: managed,
        dataFolder,
        address,
        operatorUrl,
        token: TOKEN,
        proxy,
      }),
    );
  }

  async #planNodes(): Promise<void> {
    const { dataCentres, nodesPerDataCentre } = this.#options;
    const control = Object.fromEntries(
      dataCentres.map((dataCentre) => [
        dataCentre,
        this.listDataCentreMembers(dataCentre)
          .controls.map((member) => member.address)
          .join(', '),
      ]),
    );
    const placements = dataCentres.flatMap((dataCentre) =>
      Array.from({ length: nodesPerDataCentre }, (_, index) => ({
        dataCentre,
        name: `node-${dataCentre}-${index + 1}`,
      })),
    );
    await Promise.all(
      placements.map(({ name, dataCentre }) => this.#addNode(name, dataCentre, control)),
    );
    this.nodes.sort((left, right) => left.name.localeCompare(right.name, 'en', { numeric: true }));
  }

  #createSections(name: string, role: 'control' | 'node', addresses: string[]): IniSections {
    const hosts = addresses.map((address) => splitAddress(address).host);
    return this.#options.createSections({ name, role, hosts, folder: this.folder });
  }

  async #addNode(name: string, dataCentre: string, control: Record<string, string>): Promise<void> {
    const allocated = await Promise.all(
      Array.from({ length: 4 }, () => this.#addresses.allocate()),
    );
    const [listen, forward, peer, local] = allocated as [string, string, string, string];
    const forwardProxy = await this.#startProxy(forward);
    const peerProxy = await this.#startProxy(peer);
    const file = join(this.folder, `${name}.ini`);
    writeIni(file, {
      node: {
        name,
        data_centre: dataCentre,
        region: 'region-1',
        listen,
        forward_listen: forward,
        peer_listen: peer,
        local_listen: local,
        ...(forwardProxy === undefined ? {} : { forward_address: forwardProxy.address }),
        ...(peerProxy === undefined ? {} : { peer_address: peerProxy.address }),
      },
      control,
      log: { level: this.#options.logLevel },
      ...this.#options.nodeSections,
      ...this.#createSections(name, 'node', [forward, peer]),
    });
    const entry = (process.env.FOXTAILVANE_NODE_ENTRY ?? DEFAULT_NODE_ENTRY).split(' ');
    this.nodes.push({
      name,
      dataCentre,
      process: this.#createProcess(name, [...entry, '--settings', resolve(file)]),
      url: `http://${listen}`,
      localUrl: `http://${local}`,
      forwardListen: forward,
      peerListen: peer,
      forwardProxy,
      peerProxy,
    });
  }
}
