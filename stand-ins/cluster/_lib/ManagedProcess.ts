import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';

import type { ChildProcess } from 'node:child_process';

const runningChildren = new Set<ChildProcess>();

const killRunningChildren = (): void => runningChildren.forEach((child) => child.kill('SIGKILL'));

// Kills the children of a test that ends early. tap ends a test that times out with SIGALRM.
process.on('exit', killRunningChildren);
const TERMINATION_SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGALRM', 'SIGHUP'];
TERMINATION_SIGNALS.forEach((signal) =>
  process.once(signal, () => {
    killRunningChildren();
    process.kill(process.pid, signal);
  }),
);

/** Child process that a test can kill, pause and restart. */
export default class ManagedProcess {
  readonly name: string;

  readonly logFile: string;

  readonly #args: string[];

  #child: ChildProcess | undefined;

  #exited: Promise<number | null> = Promise.resolve(null);

  /**
   * @param name - identifies the process in messages and link faults
   * @param args - script and arguments for node
   * @param logFile - receives stdout and stderr of all runs
   */
  constructor(name: string, args: string[], logFile: string) {
    this.name = name;
    this.#args = args;
    this.logFile = logFile;
  }

  get pid(): number | undefined {
    return this.isRunning ? this.#child?.pid : undefined;
  }

  get isRunning(): boolean {
    return this.#child !== undefined && runningChildren.has(this.#child);
  }

  /** Resolves with the exit code; null after a signal. */
  get exited(): Promise<number | null> {
    return this.#exited;
  }

  /** Starts the process; its output is appended to the log file. */
  start(): void {
    if (this.isRunning) return;
    const output = openSync(this.logFile, 'a');
    const child = spawn(process.execPath, this.#args, {
      stdio: ['ignore', output, output],
      // roarr logs only with ROARR_LOG set. Coverage and loader options of tap are not inherited.
      env: { PATH: process.env.PATH, ROARR_LOG: 'true' },
    });
    closeSync(output);
    runningChildren.add(child);
    this.#child = child;
    this.#exited = new Promise((resolve) => {
      child.once('close', (code) => {
        runningChildren.delete(child);
        resolve(code);
      });
    });
  }

  /** Sends SIGKILL, so that the process cannot clean up, and waits until it has exited. */
  async kill(): Promise<void> {
    this.#child?.kill('SIGKILL');
    await this.#exited;
  }

  /** Sends SIGTERM and resolves with the exit code. */
  async terminate(): Promise<number | null> {
    this.#child?.kill('SIGTERM');
    return this.#exited;
  }

  /** Suspends the process: its connections stay open, but it does not respond. */
  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  /** Sends SIGHUP, on which the process reloads its TLS files and reopens its log. */
  reload(): void {
    this.#child?.kill('SIGHUP');
  }

  /** Returns the output of all runs. */
  readLog(): string {
    return readFileSync(this.logFile, 'utf8');
  }

  /** Returns the process state as a letter of proc(5), for example `T` when paused. */
  readState(): string {
    return this.#readStat()[0] ?? '';
  }

  /** Returns the resident memory in bytes and the processor time in milliseconds so far. */
  readUsage(): { residentBytes: number; cpuMs: number } {
    const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
    const residentKilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
    const fields = this.#readStat();
    // Fields 14 and 15 of proc(5), user and system time, in ticks of 10 ms.
    const ticks = Number(fields[11]) + Number(fields[12]);
    return { residentBytes: residentKilobytes * 1_024, cpuMs: ticks * 10 };
  }

  /** Returns the fields of proc(5) from the third on; the second may contain spaces. */
  #readStat(): string[] {
    const stat = readFileSync(`/proc/${this.pid}/stat`, 'utf8');
    return stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  }
}
