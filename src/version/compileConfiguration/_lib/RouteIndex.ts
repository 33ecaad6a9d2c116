import type { Route } from '../../../_generated/foxtailvane/v1/configuration_pb.js';

const ANY_HOST = '*';

interface HostIndex {
  /** Lengths of the prefixes of this host, longest first. */
  prefixLengths: number[];
  byPrefix: Map<string, Route[]>;
}

/** Prefixes match whole path segments: `/stock` matches `/stock/1` but not `/stockings`. */
const endsAtSegmentBoundary = (prefix: string, path: string): boolean =>
  prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';

const compareSpecificity = (left: Route, right: Route): number => {
  const leftRank = left.methods.length === 0 ? 1 : 0;
  const rightRank = right.methods.length === 0 ? 1 : 0;
  return leftRank - rightRank || (left.name < right.name ? -1 : 1);
};

const acceptsMethod = (route: Route, method: string): boolean =>
  route.methods.length === 0 || route.methods.includes(method);

const createHostIndex = (routes: Route[]): HostIndex => {
  const byPrefix = new Map<string, Route[]>();
  routes.toSorted(compareSpecificity).forEach((route) => {
    byPrefix.set(route.pathPrefix, [...(byPrefix.get(route.pathPrefix) ?? []), route]);
  });
  const lengths = [...new Set([...byPrefix.keys()].map((prefix) => prefix.length))];
  return { prefixLengths: lengths.toSorted((left, right) => right - left), byPrefix };
};

const matchPath = (index: HostIndex, path: string, method: string): Route | undefined => {
  let found: Route | undefined;
  index.prefixLengths.some((length) => {
    if (length > path.length) return false;
    const prefix = path.slice(0, length);
    const routes = index.byPrefix.get(prefix);
    if (routes === undefined || !endsAtSegmentBoundary(prefix, path)) return false;
    found = routes.find((route) => acceptsMethod(route, method));
    return found !== undefined;
  });
  return found;
};

/** Finds the route of a request with one lookup per distinct prefix length of its host. */
export default class RouteIndex {
  readonly #hosts = new Map<string, HostIndex>();

  /** @param routes - the routes of one version */
  constructor(routes: Route[]) {
    const routesByHost = new Map<string, Route[]>();
    routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const routesOfHost = routesByHost.get(host);
      if (routesOfHost) routesOfHost.push(route);
      else routesByHost.set(host, [route]);
    });
    routesByHost.forEach((routesOfHost, host) => {
      this.#hosts.set(host, createHostIndex(routesOfHost));
    });
  }

  /** Returns the most specific route; falls back to host `*` when no route of the host matches. */
  match(host: string, path: string, method: string): Route | undefined {
    const exactHost = this.#hosts.get(host);
    const found = exactHost === undefined ? undefined : matchPath(exactHost, path, method);
    if (found !== undefined) return found;
    const anyHost = this.#hosts.get(ANY_HOST);
    return anyHost === undefined ? undefined : matchPath(anyHost, path, method);
  }
}
