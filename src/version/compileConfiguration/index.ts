/** Prepares a configuration version for serving requests. */
import type { Result } from 'neverthrow';
import checkConfiguration from './_lib/checkConfiguration.js';
import indexKeys from './_lib/indexKeys.js';
import RouteIndex from './_lib/RouteIndex.js';

import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import type { ConfigurationError } from '../ConfigurationError/index.js';
import type { CompiledConfiguration } from './types.js';

export type { CompiledConfiguration } from './types.js';

/**
 * Checks a configuration version and builds its lookup tables.
 *
 * @param configuration - the version; must not be modified after the call
 * @returns the compiled version, or the first rule that it violates: version number, hash, unique
 *   names, declared services, weights that add up to 100, relative weights of at least 0, keys that
 *   belong to one workspace each
 *
 * @example
 * compileConfiguration(configuration).map((compiled) => compiled.matchRoute('*', '/stock', 'GET'));
 */
export const compileConfiguration = (
  configuration: Configuration,
): Result<CompiledConfiguration, ConfigurationError> =>
  checkConfiguration(configuration).map((checked) => {
    const services = new Map(checked.services.map((service) => [service.name, service]));
    const routes = new RouteIndex(checked.routes);
    const keys = indexKeys(checked.workspaces);
    return {
      configuration: checked,
      version: checked.version,
      needsKeys: checked.workspaces.length > 0 || checked.hasEmptyWorkspaces,
      findWorkspace: (digestHex) => keys.byDigest.get(digestHex),
      findWorkspaceByKeyId: (keyId) => keys.byKeyId.get(keyId),
      findService: (name) => services.get(name),
      matchRoute: (host, path, method) => routes.match(host, path, method),
    };
  });
