import { formatServerKey } from '../observeServers/index.js';
import { SelectionReason, ServerSelector } from './ServerSelector.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { Selection, SelectionContext } from './ServerSelector.js';

/** Selects the servers of a service in turn; baseline for the other selectors. */
export default class RoundRobinSelector extends ServerSelector {
  readonly #turns = new Map<string, number>();

  override select(candidates: ServerEntry[], context: SelectionContext): Selection | undefined {
    const turn = this.#turns.get(context.service) ?? 0;
    const entry = candidates[turn % Math.max(1, candidates.length)];
    if (!entry) return undefined;
    this.#turns.set(context.service, turn + 1);
    return { entry, reason: SelectionReason.RoundRobin, considered: [formatServerKey(entry)] };
  }
}
