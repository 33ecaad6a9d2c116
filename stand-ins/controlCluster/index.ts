/** Control VMs within one process, each with a connect-es server on loopback and a data folder. */
import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session } from 'node:http2';
import { mkdtemp, rm } from 'node:fs/promises';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { connectNodeAdapter } from '@connectrpc/connect-node';
import { create } from '@bufbuild/protobuf';

import {
  ConfigurationSchema,
  ServiceSchema,
} from '../../src/_generated/foxtailvane/v1/configuration_pb.js';
import ConnectPeerClient from '../../src/connection/replication/ConnectPeerClient/index.js';
import type { ConfigurationChange } from '../../src/process/replication/ControlLog/index.js';
import { MemberRole } from '../../src/process/replication/ControlLog/index.js';
import { ReplicatedLog } from '../../src/process/replication/ReplicatedLog/index.js';
import type {
  InitialMember,
  ReplicatedLogOptions,
} from '../../src/process/replication/ReplicatedLog/index.js';
import readMonotonicNowMs from '../../src/process/replication/readMonotonicNowMs/index.js';
import NodeFiles from '../../src/process/storage/NodeFiles/index.js';
import { hashConfiguration } from '../../src/version/hashConfiguration/index.js';
import { createSeededRandom } from '../createSeededRandom/index.js';
import FaultyFiles from '../FaultyFiles/index.js';
import { FaultyPeerClient, LinkFault } from '../FaultyPeerClient/index.js';

const POLL_MS = 10;

/** Waits until a condition holds; rejects after the timeout. */
export const waitUntil = async (
  condition: () => boolean,
  description: string,
  timeoutMs = 30_000,
): Promise<void> => {
  const deadlineMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting until ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

/** Builds a change whose content depends on the number of slots. */
export const createChange = (
  version: number,
  slots: number,
  options: { requestId?: string; operator?: string; serviceCount?: number } = {},
): ConfigurationChange => {
  const services = Array.from({ length: options.serviceCount ?? 1 }, (_, position) =>
    create(ServiceSchema, { name: `order-desk-${position}`, timeoutMs: 500, slots }),
  );
  const contentHash = hashConfiguration({ services, routes: [] });
  return {
    requestId: options.requestId ?? `request-${version}-${slots}`,
    operator: options.operator ?? 'operator-1',
    configuration: create(ConfigurationSchema, { version, contentHash, services }),
  };
};

interface ClusterMember {
  memberId: string;
  port: number;
  dataFolder: string;
  files: FaultyFiles;
  server: Http2Server | undefined;
  sessions: Set<ServerHttp2Session>;
  log: ReplicatedLog | undefined;
}

export interface ControlClusterOptions extends ReplicatedLogOptions {
  seed: number;
  memberCount: number;
  /** Members discover each other; only the first start of a member may found a cluster. */
  isDiscovered?: boolean;
  /** Voters that the cluster keeps if members discover each other. */
  voterTarget?: number;
}

/** Control VMs that a test can stop, isolate and restart. */
export class ControlCluster {
  #options: ControlClusterOptions;

  readonly #members = new Map<string, ClusterMember>();

  readonly #random: () => number;

  #initialMembers: InitialMember[] = [];

  #folder = '';

  readonly #startedOnce = new Set<string>();

  /** Returns the fault for a request between two members; replaced by tests. */
  findFault: (from: string, to: string, kind: string) => LinkFault = () => LinkFault.None;

  private constructor(options: ControlClusterOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
  }

  /** Prepares members named c1, c2 and so on, without starting them. */
  static async create(options: ControlClusterOptions): Promise<ControlCluster> {
    const cluster = new ControlCluster(options);
    cluster.#folder = await mkdtemp(join(tmpdir(), 'foxtailvane-cluster-'));
    const names = Array.from({ length: options.memberCount }, (_, position) => `c${position + 1}`);
    await Promise.all(names.map((memberId) => cluster.#prepare(memberId)));
    cluster.#initialMembers = names.map((memberId) => cluster.initialMember(memberId));
    return cluster;
  }

  /** Prepares and starts members and waits for a leader that is ready. */
  static async start(options: ControlClusterOptions): Promise<ControlCluster> {
    const cluster = await ControlCluster.create(options);
    await Promise.all(cluster.memberIds().map((memberId) => cluster.startMember(memberId)));
    await cluster.waitForLeader();
    return cluster;
  }

  memberIds(): string[] {
    return [...this.#members.keys()];
  }

  initialMember(memberId: string): InitialMember {
    return { memberId, address: `127.0.0.1:${this.#getMember(memberId).port}` };
  }

  log(memberId: string): ReplicatedLog {
    const { log } = this.#getMember(memberId);
    if (!log) throw new Error(`${memberId} is not running`);
    return log;
  }

  files(memberId: string): FaultyFiles {
    return this.#getMember(memberId).files;
  }

  dataFolder(memberId: string): string {
    return this.#getMember(memberId).dataFolder;
  }

  isRunning(memberId: string): boolean {
    return this.#getMember(memberId).log !== undefined;
  }

  /** Sets the voter target of members that start from now on. */
  setVoterTarget(voterTarget: number): void {
    this.#options = { ...this.#options, voterTarget };
  }

  /** Prepares a member that is not among the initial ones. */
  async prepareMember(memberId: string): Promise<void> {
    await this.#prepare(memberId);
  }

  async startMember(memberId: string): Promise<ReplicatedLog> {
    const member = this.#getMember(memberId);
    const { seed, memberCount, isDiscovered = false, voterTarget, ...options } = this.#options;
    const isInitial = this.#initialMembers.some((initial) => initial.memberId === memberId);
    const discovery = {
      address: this.initialMember(memberId).address,
      contacts: this.#initialMembers.map(({ address }) => address),
      ...(voterTarget !== undefined && { voterTarget }),
      mayBootstrap: isInitial && !this.#startedOnce.has(memberId),
    };
    this.#startedOnce.add(memberId);
    const initialMembers =
      isInitial || isDiscovered
        ? this.#initialMembers
        : [...this.#initialMembers, this.initialMember(memberId)];
    const opened = await ReplicatedLog.open(
      {
        memberId,
        dataFolder: member.dataFolder,
        initialMembers,
        ...(isDiscovered && { discovery }),
      },
      {
        random: this.#random,
        files: member.files,
        createClient: (address) => this.#createClient(memberId, address),
        ...options,
      },
    );
    if (opened.isErr()) throw opened.error;
    member.log = opened.value;
    await this.#listen(member, opened.value);
    opened.value.start();
    return opened.value;
  }

  /** Stops a member abruptly: its connections are destroyed and it sends nothing more. */
  async stopMember(memberId: string): Promise<void> {
    const member = this.#getMember(memberId);
    const { log, server } = member;
    member.log = undefined;
    member.server = undefined;
    const closed = new Promise<void>((resolve) => {
      if (server) server.close(() => resolve());
      else resolve();
    });
    member.sessions.forEach((session) => session.destroy());
    await log?.stop();
    await closed;
  }

  /** Stops a member abruptly and deletes its data folder. */
  async wipeDisk(memberId: string): Promise<void> {
    await this.stopMember(memberId);
    await rm(this.#getMember(memberId).dataFolder, { recursive: true, force: true });
  }

  /** Returns the leader that holds a valid lease, if there is one. */
  findLeader(): string | undefined {
    return this.memberIds().find((memberId) => {
      const { log } = this.#getMember(memberId);
      const nowMs = readMonotonicNowMs();
      if (!log?.isConfirmed(nowMs)) return false;
      const self = log.members(nowMs).find((member) => member.memberId === memberId);
      return self?.role === MemberRole.Leader;
    });
  }

  async waitForLeader(except: string[] = []): Promise<string> {
    let leader: string | undefined;
    await waitUntil(() => {
      leader = this.findLeader();
      return leader !== undefined && !except.includes(leader);
    }, 'there is a leader');
    return leader ?? '';
  }

  /** Cuts all links between the members given and the others, in both directions. */
  isolate(memberIds: string[]): void {
    this.findFault = (from, to) =>
      memberIds.includes(from) === memberIds.includes(to) ? LinkFault.None : LinkFault.DropRequest;
  }

  heal(): void {
    this.findFault = () => LinkFault.None;
  }

  /** Stops all members and removes their data folders. */
  async close(): Promise<void> {
    this.heal();
    await Promise.all(this.memberIds().map((memberId) => this.stopMember(memberId)));
    await rm(this.#folder, { recursive: true, force: true });
  }

  #getMember(memberId: string): ClusterMember {
    const member = this.#members.get(memberId);
    if (!member) throw new Error(`there is no member ${memberId}`);
    return member;
  }

  async #prepare(memberId: string): Promise<void> {
    // The system chooses a free port, which the member keeps across restarts.
    const probe = createServer();
    await new Promise<void>((resolve) => {
      probe.listen(0, '127.0.0.1', resolve);
    });
    const { port } = probe.address() as AddressInfo;
    await new Promise((resolve) => {
      probe.close(resolve);
    });
    this.#members.set(memberId, {
      memberId,
      port,
      dataFolder: join(this.#folder, memberId),
      files: new FaultyFiles(new NodeFiles()),
      server: undefined,
      sessions: new Set(),
      log: undefined,
    });
  }

  async #listen(member: ClusterMember, log: ReplicatedLog): Promise<void> {
    const server = createServer(connectNodeAdapter({ routes: (router) => log.register(router) }));
    server.on('session', (session) => {
      member.sessions.add(session);
      session.on('close', () => member.sessions.delete(session));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(member.port, '127.0.0.1', resolve);
    });
    Object.assign(member, { server });
  }

  #createClient(from: string, address: string): FaultyPeerClient {
    const to = this.memberIds().find((id) => this.initialMember(id).address === address) ?? '';
    return new FaultyPeerClient(new ConnectPeerClient(address), (kind) =>
      this.findFault(from, to, kind),
    );
  }
}
