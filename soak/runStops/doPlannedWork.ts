/** Planned work on nodes, and disruptions of other nodes and of workers beside it. */
import { setTimeout as sleep } from 'node:timers/promises';

import type { PlatformCluster } from '../../stand-ins/platform/index.js';
import type KeepingClient from '../../stand-ins/keepingClient/index.js';
import { createSeededRandom, drawInteger } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import fillWorkers, { FULL_LOAD, LARGEST_LOAD } from './fillWorkers.js';
import type { CallerLoad } from './fillWorkers.js';
import type Operator from './Operator.js';
import { slowNode, suspendNode } from './slowNode.js';

export enum Work {
  Stop = 'STOP',
  Hangup = 'HANGUP',
  Change = 'CHANGE',
  /** A node stands still for some time. */
  Suspend = 'SUSPEND',
  /** A node runs in short turns. */
  Slow = 'SLOW',
  /** The workers of a service have no free slot. */
  Fill = 'FILL',
  /** The workers of a service get as many connections as they accept. */
  Overfill = 'OVERFILL',
}

const PLANNED = [Work.Stop, Work.Stop, Work.Hangup, Work.Change];
const DISRUPTED = [
  ...PLANNED,
  ...[Work.Stop, Work.Suspend, Work.Slow, Work.Slow, Work.Fill, Work.Fill, Work.Overfill],
];
const LOADS: Partial<Record<Work, CallerLoad>> = {
  [Work.Fill]: FULL_LOAD,
  [Work.Overfill]: LARGEST_LOAD,
};
const MAX_GAP_MS = 1_500;
/** Disruptions are shorter than stops, and meet only if more of them begin. */
const MAX_DISRUPTED_GAP_MS = 600;
const MAX_SLOWED = 2;
const MAX_FILLED = 2;
const MAX_SEED = 1_000_000;

/** A time for which a node was stopping or slowed, on the clock of `performance.now()`. */
export interface NodeSpan {
  /** Index of the node. */
  node: number;
  kind: Work;
  fromMs: number;
  toMs: number;
}

/** What was done. */
export interface DoneWork {
  counts: Partial<Record<Work, number>>;
  /** From each SIGTERM until the process had ended. */
  stops: NodeSpan[];
  slowdowns: NodeSpan[];
  /** Callers that filled workers. */
  fillers: KeepingClient[];
}

export interface WorkOptions {
  seed: number;
  durationMs: number;
  services: string[];
  /** Whether nodes are slowed and workers are filled beside the planned work. */
  isDisrupted: boolean;
  print?: (line: string) => void;
}

/** Does one piece of work after the other, and remembers which nodes are in use. */
class WorkRunner {
  readonly done: DoneWork = { counts: {}, stops: [], slowdowns: [], fillers: [] };

  readonly #platform: PlatformCluster;

  readonly #operator: Operator;

  readonly #options: WorkOptions;

  /** Indexes of nodes that stop or start. */
  readonly #busy = new Set<number>();

  readonly #starting = new Set<number>();

  readonly #slowed = new Set<number>();

  #filled = 0;

  constructor(platform: PlatformCluster, operator: Operator, options: WorkOptions) {
    this.#platform = platform;
    this.#operator = operator;
    this.#options = options;
  }

  canBegin(kind: Work, node: number): boolean {
    const isStill = !this.#busy.has(node) && !this.#slowed.has(node);
    switch (kind) {
      case Work.Stop:
        return isStill && this.#busy.size < this.#platform.nodes.length / 3;
      case Work.Hangup:
        return !this.#starting.has(node);
      case Work.Suspend:
      case Work.Slow:
        return isStill && this.#slowed.size < MAX_SLOWED;
      case Work.Fill:
      case Work.Overfill:
        return this.#filled < MAX_FILLED;
      default:
        return true;
    }
  }

  /**
   * Does a piece of work.
   *
   * @param kind - what to do
   * @param node - index of its node
   * @param random - what the work draws from
   */
  async begin(kind: Work, node: number, random: Random): Promise<void> {
    const { counts } = this.done;
    counts[kind] = (counts[kind] ?? 0) + 1;
    const load = LOADS[kind];
    if (kind === Work.Change) await this.#operator.change();
    else if (kind === Work.Hangup) this.#platform.nodes[node]?.signal('SIGHUP');
    else if (kind === Work.Stop) await this.#restart(node);
    else if (load) await this.#fill(load, node, random);
    else await this.#slow(kind, node, random);
  }

  async #restart(index: number): Promise<void> {
    const node = this.#platform.nodes[index];
    this.#busy.add(index);
    const stop = { node: index, kind: Work.Stop, fromMs: performance.now(), toMs: Infinity };
    this.done.stops.push(stop);
    await node?.stop();
    stop.toMs = performance.now();
    this.#starting.add(index);
    await node?.start({ isFirstStart: false });
    this.#busy.delete(index);
    // Node.js ends on a SIGHUP until the program is loaded; on the platform it is then started again.
    await node?.waitUntilLoaded();
    this.#starting.delete(index);
  }

  async #slow(kind: Work, index: number, random: Random): Promise<void> {
    const node = this.#platform.nodes[index];
    if (!node) return;
    this.#slowed.add(index);
    const slowdown = { node: index, kind, fromMs: performance.now(), toMs: Infinity };
    this.done.slowdowns.push(slowdown);
    await (kind === Work.Suspend ? suspendNode : slowNode)(node, random);
    slowdown.toMs = performance.now();
    this.#slowed.delete(index);
  }

  async #fill(load: CallerLoad, index: number, random: Random): Promise<void> {
    const { seed, services } = this.#options;
    const address = this.#platform.nodes[index]?.address('outbound') ?? '';
    const service = services[drawInteger(random, 0, services.length - 1)] ?? '';
    const name = `${seed}-fill-${Math.round(performance.now())}-${index}`;
    this.#filled += 1;
    const clients = await fillWorkers({ address, service, name, load, random });
    this.#filled -= 1;
    this.done.fillers.push(...clients);
  }
}

/**
 * Does planned work, of which several pieces may be in progress, but one at most on a node.
 *
 * @param platform - what it is done on
 * @param random - what the kinds, nodes and times are drawn from
 * @param operator - sends the changes
 * @param options - duration, and whether to disrupt nodes as well
 * @returns what was done, once all of it is over
 */
const doPlannedWork = async (
  platform: PlatformCluster,
  random: Random,
  operator: Operator,
  options: WorkOptions,
): Promise<DoneWork> => {
  const { durationMs, isDisrupted, print = () => undefined } = options;
  const kinds = isDisrupted ? DISRUPTED : PLANNED;
  const maxGapMs = isDisrupted ? MAX_DISRUPTED_GAP_MS : MAX_GAP_MS;
  const runner = new WorkRunner(platform, operator, options);
  const inProgress: Promise<void>[] = [];
  const startedAtMs = performance.now();
  while (performance.now() < startedAtMs + durationMs) {
    const kind = kinds[drawInteger(random, 0, kinds.length - 1)] ?? Work.Change;
    const node = drawInteger(random, 0, platform.nodes.length - 1);
    // A sequence of its own for each disruption, so that their turns do not mix the sequences.
    const own = isDisrupted ? createSeededRandom(drawInteger(random, 1, MAX_SEED)) : random;
    if (runner.canBegin(kind, node)) {
      inProgress.push(runner.begin(kind, node, own));
      print(`${Math.round(performance.now())} ms: ${kind} ${platform.nodes[node]?.ip}`);
    }
    await sleep(drawInteger(random, 0, maxGapMs));
  }
  await Promise.all(inProgress);
  return runner.done;
};

export default doPlannedWork;
