/** Refusal of requests that a draining node may have to abort. */
import type { Exchange } from './Exchange.js';
import type { RequestContext } from './RequestContext.js';
import { RefusalReason, createNotRunRefusal } from './writeRefusal.js';
import type { Refusal } from './writeRefusal.js';

/**
 * Returns whether a request may still be in flight when a draining node aborts its requests.
 *
 * @param exchange - request whose deadline is set
 * @param context - time that is left to the node
 */
export const mayOutlastDrain = (
  exchange: Exchange,
  { readDrainLeftMs }: Pick<RequestContext, 'readDrainLeftMs'>,
): boolean => exchange.getRemainingMs(performance.now()) > readDrainLeftMs();

/** Creates the refusal of such a request. */
export const createDrainRefusal = (): Refusal =>
  createNotRunRefusal(RefusalReason.NodeDraining, 'the node stops before the request must end');
