/** Ranks requests by the priorities of their workspace and their route. */
import type { Route, Workspace } from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** Routes with a lower priority than this one are served alike. */
const LOWEST_ROUTE_PRIORITY = 9;

/**
 * Computes the priority of a request for a slot. When room is short, the requests of an urgent
 * workspace precede those of others on any route. Requests without a workspace are mostly calls of
 * running ones, so they precede too.
 *
 * @param route - route of the request
 * @param workspace - workspace that sends it, if any
 * @returns priority; 0 is the most urgent
 *
 * @example
 * computePriority(route, workspace); // 12: workspace 1, route 2
 */
const computePriority = (
  route: Pick<Route, 'priority'>,
  workspace: Pick<Workspace, 'priority'> | undefined,
): number =>
  (workspace?.priority ?? 0) * (LOWEST_ROUTE_PRIORITY + 1) +
  Math.min(route.priority, LOWEST_ROUTE_PRIORITY);

export default computePriority;
