import { ServerState } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';
import type { CompiledConfiguration } from '../../../version/compileConfiguration/types.js';
import type { VersionExplanation } from '../../../request/chooseVersion/index.js';
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
  /** Absent when the server states none. */
  softwareVersion?: string;
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

/** Explains the choice of software versions. */
export interface VersionExplainer {
  explain: (service: string, live: ServerEntry[]) => VersionExplanation;
}

const isLive = ({ server, node }: ServerEntry): boolean =>
  server.state === ServerState.SERVING && !node.draining;

const describeVersion = (
  { server }: ServerEntry,
  { entries, exposure, softwareVersion = 'none', reason }: VersionExplanation,
): { canBeChosen: boolean; reason: string } => {
  if (entries.some((entry) => entry.server === server)) {
    return { canBeChosen: true, reason: `serving (${reason})` };
  }
  if (exposure?.targetVersion === server.softwareVersion) {
    const share = `at most ${exposure.sharePermille} of 1000 requests`;
    return { canBeChosen: true, reason: `version ${exposure.targetVersion} gets ${share}` };
  }
  return { canBeChosen: false, reason: `requests use version ${softwareVersion} (${reason})` };
};

const describeCandidate = (
  entry: ServerEntry,
  versions: VersionExplanation | undefined,
): ExplainedCandidate => {
  const { server, node } = entry;
  const isServing = server.state === ServerState.SERVING;
  const canBeChosen = isLive(entry);
  const exclusionReason = isServing ? 'its node is draining' : 'it is not serving';
  const { softwareVersion } = server;
  return {
    serverId: server.serverId,
    nodeId: node.nodeId,
    dataCentre: node.dataCentre,
    state: ServerState[server.state].toLowerCase(),
    ...(softwareVersion !== '' && { softwareVersion }),
    canBeChosen,
    reason: canBeChosen ? 'serving' : exclusionReason,
    ...(versions && canBeChosen && describeVersion(entry, versions)),
  };
};

/**
 * Explains which route a request matches and which servers can be selected for it.
 *
 * @param compiled - configuration in force, if any
 * @param directory - known servers
 * @param query - host, path and method of the request
 * @param versions - choice of software versions; undefined without roll-outs
 * @returns the matching route with all candidates of its targets, or why there is none
 */
export const explainRoute = (
  compiled: CompiledConfiguration | undefined,
  directory: Pick<EndpointDirectory, 'serversOf'>,
  query: ExplainQuery,
  versions?: VersionExplainer,
): Explanation => {
  const host = query.host.toLowerCase();
  const method = query.method.toUpperCase();
  const base = { ...query, host, method, version: compiled?.version ?? 0, targets: [] };
  if (!compiled) return { ...base, reason: 'no configuration version is in force' };
  const route = compiled.matchRoute(host, query.path, method);
  if (!route) return { ...base, reason: 'no route matches host, path and method' };
  const targets = route.targets.map(({ service, weightPercent }) => {
    const entries = directory.serversOf(service);
    const explained = versions?.explain(service, entries.filter(isLive));
    const candidates = entries.map((entry) => describeCandidate(entry, explained));
    return { service, weightPercent, candidates };
  });
  return {
    ...base,
    route: route.name,
    reason: `prefix ${route.pathPrefix} on host ${route.host} matches`,
    targets,
  };
};
