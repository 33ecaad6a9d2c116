/** How the workspaces have shared the slots of the servers beside this node lately. */

/** Decisions after which the counts are halved, so that they tell the last seconds under load. */
const HALVING_INTERVAL = 200;
/** Counts below this are forgotten, which bounds the state by the recent workspaces. */
const FORGOTTEN_BELOW = 0.2;
/** Decisions below which nothing is said about a workspace. */
const MIN_DECISIONS = 4;
/** Multiples of its share of the service from which a workspace comes after the others. */
const EXCESS_LEVELS = [1.5, 3];
/**
 * A workspace that is served less often than this share of the others' rate precedes all. The
 * operators allow a quarter; the counts of one node are an estimate.
 */
const STARVED_BELOW = 0.4;

interface Counts {
  served: number;
  refused: number;
  weight: number;
}

/** How a request stands against those of other workspaces. */
export interface Standing {
  /** Number of excess levels that its workspace has reached; 0 within its share. */
  excessLevel: number;
  /** Whether its workspace is hardly served. */
  isStarved: boolean;
}

const EVEN: Standing = { excessLevel: 0, isStarved: false };

const computeServedShare = ({ served, refused }: Pick<Counts, 'served' | 'refused'>): number =>
  served / Math.max(1, served + refused);

/**
 * Counts which workspaces were served and refused, weighted by their quotas.
 *
 * Answers a workspace that sends a multiple of its usual requests to servers without room for them:
 * by the order of arrival, it would take the slots of all others in proportion. Share that a
 * workspace does not use goes to the others, since a level only orders requests that wait together.
 */
export default class WorkspaceShares {
  readonly #counts = new Map<string, Counts>();

  readonly #getWeight: (workspace: string) => number;

  #total: Counts = { served: 0, refused: 0, weight: 0 };

  #decisions = 0;

  /** @param getWeight - returns the weight of a workspace relative to others, such as its quota */
  constructor(getWeight: (workspace: string) => number) {
    this.#getWeight = getWeight;
  }

  /** Counts a decision about a request for a slot. */
  add(workspace: string, isServed: boolean): void {
    const counts = this.#counts.get(workspace) ?? this.#create(workspace);
    const key = isServed ? 'served' : 'refused';
    counts[key] += 1;
    this.#total[key] += 1;
    this.#decisions += 1;
    if (this.#decisions % HALVING_INTERVAL === 0) this.#halve();
  }

  /** Returns how the next request of a workspace stands. */
  getStanding(workspace: string): Standing {
    const counts = this.#counts.get(workspace);
    if (!counts || counts.served + counts.refused < MIN_DECISIONS) return EVEN;
    const total = this.#total;
    const due = (total.served * counts.weight) / total.weight;
    const excessLevel = EXCESS_LEVELS.filter((level) => counts.served > level * due).length;
    const isStarved = computeServedShare(counts) < STARVED_BELOW * computeServedShare(total);
    return { excessLevel, isStarved };
  }

  #create(workspace: string): Counts {
    const counts = { served: 0, refused: 0, weight: Math.max(1, this.#getWeight(workspace)) };
    this.#counts.set(workspace, counts);
    this.#total.weight += counts.weight;
    return counts;
  }

  #halve(): void {
    const total = { served: 0, refused: 0, weight: 0 };
    this.#counts.forEach((counts, workspace) => {
      const kept = counts;
      kept.served /= 2;
      kept.refused /= 2;
      if (kept.served + kept.refused < FORGOTTEN_BELOW) {
        this.#counts.delete(workspace);
        return;
      }
      kept.weight = Math.max(1, this.#getWeight(workspace));
      total.served += kept.served;
      total.refused += kept.refused;
      total.weight += kept.weight;
    });
    this.#total = total;
  }
}
