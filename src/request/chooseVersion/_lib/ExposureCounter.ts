import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';

const PERMILLE_PER_REQUEST = 1_000;
/** Less than two requests, so that a share that could not be used for a while is not caught up. */
const MAX_PERMILLE = 2 * PERMILLE_PER_REQUEST - 1;

interface Share {
  rolloutId: number;
  /** Part of the next request to the target version, in thousandths. */
  permille: number;
}

/**
 * Counts which requests of this node may go to the target version of a roll-out.
 *
 * Each request that reaches a server of the service adds its share, and each request to the target
 * version costs a whole one, so a node never sends more than its share and a part of one request,
 * however demand moves. That part is drawn at random: nodes with few requests would otherwise all send
 * their first one only after 1 / share requests, and a node that restarts often would send too many.
 * The sum over all nodes is thus the share in the mean.
 */
export default class ExposureCounter {
  readonly #random: () => number;

  readonly #shares = new Map<string, Share>();

  /** @param random - uniform in [0, 1) */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Returns whether the next request may go to the target version. */
  hasShare(rollout: Rollout): boolean {
    return rollout.sharePermille > 0 && this.#get(rollout).permille >= PERMILLE_PER_REQUEST;
  }

  /** Adds the share of a request that reached a server of the service, of whatever version. */
  addReached(rollout: Rollout): void {
    this.#add(rollout, rollout.sharePermille);
  }

  /** Charges a request to the target version. */
  charge(rollout: Rollout): void {
    this.#add(rollout, -PERMILLE_PER_REQUEST);
  }

  /** Returns the charge of a request that certainly reached no server. */
  refund(rollout: Rollout): void {
    this.#add(rollout, PERMILLE_PER_REQUEST);
  }

  #add(rollout: Rollout, permille: number): void {
    const share = this.#get(rollout);
    share.permille = Math.min(MAX_PERMILLE, share.permille + permille);
  }

  #get({ service, id }: Rollout): Share {
    const known = this.#shares.get(service);
    if (known?.rolloutId === id) return known;
    const permille = Math.floor(this.#random() * PERMILLE_PER_REQUEST);
    const created = { rolloutId: id, permille };
    this.#shares.set(service, created);
    return created;
  }
}
