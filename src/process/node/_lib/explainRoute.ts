import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/types.js';
import type { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import type { ServerEntry } from '../../endpoints/types.js';

/** The request to explain. */
export interface ExplainQuery {
  host: string;
  path: string;
  method: string;
}

/** A server of a target service, and why it can or can't be selected. */
export interface ExplainedCandidate {
  serverId: string;
  nodeId: string;
  dataCentre: string;
  state: string;
  canBeChosen: boolean;
  reason: string;
}

export interface ExplainedTarget {
  service: string;
  weightPercent: number;
  candidates: ExplainedCandidate[];
}

/** The route that a request matches and the candidate servers of its targets. */
export interface Explanation extends ExplainQuery {
  /** 0 while no version is in force. */
  version: number;
  route?: string;
  reason: string;
  targets: ExplainedTarget[];
}

const describeCandidate = ({ server, node }: ServerEntry): ExplainedCandidate => {
  const isServing = server.state === ServerState.SERVING;
  const canBeChosen = isServing && !node.draining;
  const exclusionReason = isServing ? 'its node is draining' : 'it is not serving';
  return {
    serverId: server.serverId,
    nodeId: node.nodeId,
    dataCentre: node.dataCentre,
    state: ServerState[server.state].toLowerCase(),
    canBeChosen,
    reason: canBeChosen ? 'serving' : exclusionReason,
  };
};

/**
 * Explains which route a request matches and which servers can be selected for it.
 *
 * @param compiled - configuration in force, if any
 * @param directory - known servers
 * @param query - host, path and method of the request
 * @returns the matching route with all candidates of its targets, or why there is none
 */
export const explainRoute = (
  compiled: CompiledConfiguration | undefined,
  directory: Pick<EndpointDirectory, 'serversOf'>,
  query: ExplainQuery,
): Explanation => {
  const host = query.host.toLowerCase();
  const method = query.method.toUpperCase();
  const base = { ...query, host, method, version: compiled?.version ?? 0, targets: [] };
  if (!compiled) return { ...base, reason: 'no configuration version is in force' };
  const route = compiled.matchRoute(host, query.path, method);
  if (!route) return { ...base, reason: 'no route matches host, path and method' };
  const targets = route.targets.map(({ service, weightPercent }) => ({
    service,
    weightPercent,
    candidates: directory.serversOf(service).map(describeCandidate),
  }));
  return {
    ...base,
    route: route.name,
    reason: `prefix ${route.pathPrefix} on host ${route.host} matches`,
    targets,
  };
};
