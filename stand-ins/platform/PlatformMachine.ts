/** Platform machine that runs one program, a node or a control VM, with a settings file. */
import { spawn } from 'node:child_process';
import { mkdtemp, readFile, readdir, readlink, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { stringify } from 'yaml';

import type { ChildProcess } from 'node:child_process';
import waitFor from '../waitFor/index.js';

const FIRST_INTERNAL_PORT = 7_380;

export enum PlatformProgram {
  Node = 'node',
  Control = 'control',
}

/** Listener ports, the same on every machine, since each machine has its own IP address. */
export const PLATFORM_PORTS = { app: 8_761, ready: 8_141, control: 8_144, outbound: 8_147 };

/** How a process ended. */
export interface ProcessEnd {
  code: number | null;
  signal: NodeJS.Signals | null;
}

export interface PlatformMachineOptions {
  program: PlatformProgram;
  /** Loopback address of the machine. */
  ip: string;
  zone: string;
  /** IP addresses of the machines that run a control VM. */
  seedIps: string[];
  /** Service of the worker beside the node; unset without a worker. */
  service?: string;
  /** Bounds in the settings, in addition to the default ones. */
  bounds?: object;
  /** Duties in force besides the usual ones. */
  contracts?: string[];
  /** Runs the minified bundle of the program, as deployed, instead of its compiled modules. */
  isBundled?: boolean;
  /** Options of the runtime; none by default. */
  runtimeOptions?: readonly string[];
  /** Memory limit in the settings; none by default. */
  memoryMb?: number;
}

const BYTES_PER_KIB = 1_024;
const HEXADECIMAL = 16;

/** Memory that a process takes, as a machine counts it. */
export interface MemoryUse {
  residentBytes: number;
  /** Bytes that have arrived at its connections and are not read. */
  unreadBytes: number;
  /** Bytes that it has sent and its peers have not taken. */
  untakenBytes: number;
}

/** Columns of the kernel's table of connections. */
enum ConnectionColumn {
  Queues = 4,
  Inode = 9,
}

/** Columns of `/proc/PID/schedstat`, in nanoseconds. */
enum SchedulerColumn {
  Wait = 1,
}

const NS_PER_MS = 1_000_000;

/** Fields of `/proc/PID/stat`, counted from the state. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
/** Clock ticks are hundredths of a second on all supported systems. */
const MS_PER_TICK = 10;

export default class PlatformMachine {
  readonly ip: string;

  readonly #options: PlatformMachineOptions;

  #folder = '';

  #child: ChildProcess | undefined;

  #output = '';

  #hasWritten: () => boolean = () => false;

  constructor(options: PlatformMachineOptions) {
    this.#options = options;
    this.ip = options.ip;
  }

  /** Returns the `IP:port` of one of the machine's listeners. */
  address(port: keyof typeof PLATFORM_PORTS): string {
    return `${this.ip}:${PLATFORM_PORTS[port]}`;
  }

  /** Output of the program on stdout and stderr, over all runs. */
  get output(): string {
    return this.#output;
  }

  /** Reads the largest resident size of the process so far, as the kernel counts it. */
  async readPeakResidentBytes(): Promise<number> {
    const status = await readFile(`/proc/${this.#child?.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KIB;
  }

  /** Reads the resident size of the process and the queues of its connections in the kernel. */
  async readMemoryUse(): Promise<MemoryUse> {
    const folder = `/proc/${this.#child?.pid}`;
    const [status, table, descriptors] = await Promise.all([
      readFile(`${folder}/status`, 'utf8'),
      readFile('/proc/net/tcp', 'utf8'),
      readdir(`${folder}/fd`),
    ]);
    const links = await Promise.all(
      // A descriptor may be closed meanwhile.
      descriptors.map((name) => readlink(`${folder}/fd/${name}`).catch(() => '')),
    );
    const inodes = new Set(links.map((link) => /^socket:\[(\d+)\]$/.exec(link)?.[1]));
    const queues = table
      .split('\n')
      .map((line) => line.trim().split(/\s+/))
      .filter(({ [ConnectionColumn.Inode]: inode }) => inode !== undefined && inodes.has(inode))
      .map((columns) => (columns[ConnectionColumn.Queues] ?? '').split(':'))
      .map(([untaken = '', unread = '']) => ({
        untakenBytes: Number.parseInt(untaken, HEXADECIMAL),
        unreadBytes: Number.parseInt(unread, HEXADECIMAL),
      }));
    return {
      residentBytes: Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * BYTES_PER_KIB,
      unreadBytes: queues.reduce((sum, { unreadBytes }) => sum + unreadBytes, 0),
      untakenBytes: queues.reduce((sum, { untakenBytes }) => sum + untakenBytes, 0),
    };
  }

  /** Reads the processor time of the process so far, in milliseconds. */
  async readProcessorMs(): Promise<number> {
    const stat = await readFile(`/proc/${this.#child?.pid}/stat`, 'utf8');
    // The fields behind the name, which ends with the last parenthesis.
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
    return ticks * MS_PER_TICK;
  }

  /** Reads how long the process could run and got no processor, in milliseconds. */
  async readProcessorWaitMs(): Promise<number> {
    const statistics = await readFile(`/proc/${this.#child?.pid}/schedstat`, 'utf8');
    return Number(statistics.split(' ')[SchedulerColumn.Wait]) / NS_PER_MS;
  }

  /** Writes the settings file and starts the program. */
  async start(options: { isFirstStart: boolean } = { isFirstStart: true }): Promise<void> {
    if (this.#folder === '') this.#folder = await mkdtemp(join(tmpdir(), 'foxtailvane-platform-'));
    const path = join(this.#folder, 'local.yaml');
    await writeFile(path, stringify(this.#createSettings(options.isFirstStart)));
    const { program: name, isBundled = false } = this.#options;
    const module = isBundled ? `bundle/platform-${name}.mjs` : `platform/${name}.js`;
    const program = fileURLToPath(new URL(`../../${module}`, import.meta.url));
    const { runtimeOptions = [] } = this.#options;
    const child = spawn(process.execPath, [...runtimeOptions, program], {
      env: { PATH: process.env.PATH, FOXTAILVANE_CONFIG: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    const earlierLength = this.#output.length;
    this.#hasWritten = () => this.#output.length > earlierLength;
    child.once('exit', (exitCode, signal) => {
      if (this.#child !== child) return;
      this.#output += `ended by itself: exit code ${exitCode}, signal ${signal}\n`;
    });
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (chunk: Buffer) => {
        this.#output += chunk.toString();
      }),
    );
  }

  /** Waits until the program that was started last has written its first line. */
  async waitUntilLoaded(): Promise<void> {
    await waitFor(`output of ${this.ip}`, () => this.#hasWritten());
  }

  /** Sends a signal and waits until the program has exited. */
  async stop(signal: NodeJS.Signals = 'SIGTERM'): Promise<void> {
    const child = this.#child;
    this.#child = undefined;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill(signal);
    await ended;
  }

  /** How the program ended, if it did without being stopped by `stop`. */
  get ownEnd(): ProcessEnd | undefined {
    const child = this.#child;
    if (!child || (child.exitCode === null && child.signalCode === null)) return undefined;
    return { code: child.exitCode, signal: child.signalCode };
  }

  /** Sends a signal and does not wait for its effect. */
  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Freezes the program or lets it run on. */
  setFrozen(isFrozen: boolean): void {
    this.#child?.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Kills the program and deletes its folder. */
  async remove(): Promise<void> {
    await this.stop('SIGKILL');
    if (this.#folder !== '') await rm(this.#folder, { recursive: true, force: true });
  }

  #createSettings(isFirstStart: boolean): object {
    const { ip, zone, service, program, seedIps, contracts = [], memoryMb } = this.#options;
    const isNode = program === PlatformProgram.Node;
    return {
      self: {
        node_name: `${program}-${ip}`,
        ip,
        zone,
        region: 'south',
        first_start: isFirstStart,
        data_dir: isNode ? null : join(this.#folder, 'data'),
        ...(memoryMb !== undefined && { limits: { memory_mb: memoryMb } }),
        ...(service !== undefined && { app: this.address('app'), service }),
      },
      network: {
        listen: {
          control: this.address('control'),
          ...(isNode && { outbound: this.address('outbound'), ready: this.address('ready') }),
        },
        internal_port_range: [FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 15],
        seeds: seedIps.map((seedIp) => `${seedIp}:${PLATFORM_PORTS.control}`),
      },
      terms: {
        contracts: ['base', ...contracts],
        bounds: {
          ...{ retry_budget_ratio: 0.2, retry_budget_slack: 64, grace: '6s' },
          ...this.#options.bounds,
        },
      },
    };
  }
}
