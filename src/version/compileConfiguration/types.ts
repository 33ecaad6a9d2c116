import type {
  Configuration,
  Route,
  Service,
  Workspace,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** A configuration prepared for serving requests; immutable. */
export interface CompiledConfiguration {
  readonly configuration: Configuration;
  readonly version: number;
  /** Whether requests need the key of a workspace, except on keyless routes; there may be none. */
  readonly needsKeys: boolean;
  /**
   * Returns the workspace that holds a key.
   *
   * @param digestHex - SHA-256 of the key, in lower-case hexadecimal
   */
  findWorkspace: (digestHex: string) => Workspace | undefined;
  /**
   * Returns the workspace that holds a key.
   *
   * @param keyId - from `formatKeyId`
   */
  findWorkspaceByKeyId: (keyId: string) => Workspace | undefined;
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
