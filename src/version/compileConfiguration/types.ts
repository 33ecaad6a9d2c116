import type {
  Configuration,
  Route,
  Service,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** A configuration prepared for serving requests; immutable. */
export interface CompiledConfiguration {
  readonly configuration: Configuration;
  readonly version: number;
  /** Returns the declared service of that name. */
  findService: (name: string) => Service | undefined;
  /**
   * Returns the most specific route for a request: an exact host before `*`, then the longest path
   * prefix, then a listed method before any method.
   *
   * @param host - host name in lower case, without port
   * @param path - path without query
   * @param method - HTTP method in upper case
   */
  matchRoute: (host: string, path: string, method: string) => Route | undefined;
}
