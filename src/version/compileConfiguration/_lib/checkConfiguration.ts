import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { ConfigurationError, ConfigurationErrorCode } from '../../ConfigurationError/index.js';
import { verifyHash } from '../../verifyHash/index.js';

import type {
  Configuration,
  Route,
  Workspace,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';

const WEIGHT_SUM_PERCENT = 100;

type Violation = ConfigurationError | undefined;

const findDuplicate = (kind: string, rows: { name: string }[]): Violation => {
  const seen = new Set<string>();
  const duplicate = rows.find((row) => seen.size === seen.add(row.name).size);
  if (duplicate === undefined) return undefined;
  const message = `${kind} ${duplicate.name} is declared twice`;
  return new ConfigurationError(ConfigurationErrorCode.DuplicateName, message);
};

const findUnknownService = (routes: Route[], services: Set<string>): Violation => {
  const violations = routes.flatMap((route) =>
    route.targets
      .filter((target) => !services.has(target.service))
      .map((target) => `route ${route.name} refers to undeclared service ${target.service}`),
  );
  const [message] = violations;
  return message === undefined
    ? undefined
    : new ConfigurationError(ConfigurationErrorCode.UnknownService, message);
};

const findRelativeWeightError = (routes: Route[]): Violation => {
  const isUsable = (weight: number): boolean => Number.isFinite(weight) && weight >= 0;
  const route = routes.find(
    ({ targets }) =>
      targets.length === 0 || !targets.every(({ relativeWeight }) => isUsable(relativeWeight)),
  );
  if (route === undefined) return undefined;
  const message = `route ${route.name} has no targets or a weight that is not a number of at least 0`;
  return new ConfigurationError(ConfigurationErrorCode.WeightSum, message);
};

const sumWeights = (route: Route): number =>
  route.targets.reduce((sum, target) => sum + target.weightPercent, 0);

const findWeightError = (routes: Route[]): Violation => {
  const route = routes.find((candidate) => sumWeights(candidate) !== WEIGHT_SUM_PERCENT);
  if (route === undefined) return undefined;
  const message = `weights of route ${route.name} add up to ${sumWeights(route)}, not ${WEIGHT_SUM_PERCENT}`;
  return new ConfigurationError(ConfigurationErrorCode.WeightSum, message);
};

const DIGEST_BYTES = 32;

const isWorkspaceUsable = ({ keyDigests, ratePerSecond, burst }: Workspace): boolean =>
  keyDigests.every(({ length }) => length === DIGEST_BYTES) &&
  [ratePerSecond, burst].every((limit) => Number.isFinite(limit) && limit >= 0);

const findWorkspaceError = (workspaces: Workspace[]): Violation => {
  const workspace = workspaces.find((candidate) => !isWorkspaceUsable(candidate));
  if (workspace === undefined) return undefined;
  const message = `workspace ${workspace.name} has a key that is not a SHA-256 digest, or a limit that is not a number of at least 0`;
  return new ConfigurationError(ConfigurationErrorCode.InvalidWorkspace, message);
};

// A key that two workspaces hold would show a server the name of either of them.
const findSharedKey = (workspaces: Workspace[]): Violation => {
  const owners = new Map<string, string>();
  const other = workspaces.find(({ name, keyDigests }) =>
    keyDigests.some((digest) => {
      const key = Buffer.from(digest).toString('latin1');
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner !== name;
    }),
  );
  if (other === undefined) return undefined;
  const message = `workspace ${other.name} holds a key of another workspace`;
  return new ConfigurationError(ConfigurationErrorCode.DuplicateKey, message);
};

const findHashError = (configuration: Configuration): Violation => {
  if (verifyHash(configuration)) return undefined;
  const message = `content of version ${configuration.version} does not match its hash`;
  return new ConfigurationError(ConfigurationErrorCode.HashMismatch, message);
};

// Version 0 means "no configuration" on the wire, so no configuration may carry it.
const findVersionError = (configuration: Configuration): Violation =>
  configuration.version === 0
    ? new ConfigurationError(ConfigurationErrorCode.VersionMissing, 'version number is 0')
    : undefined;

/**
 * Checks the consistency rules of one configuration version.
 *
 * @param configuration - the version to check
 * @returns the same version, or the first rule that it violates
 */
const checkConfiguration = (
  configuration: Configuration,
): Result<Configuration, ConfigurationError> => {
  const services = new Set(configuration.services.map((service) => service.name));
  const violation =
    findVersionError(configuration) ??
    findHashError(configuration) ??
    findDuplicate('service', configuration.services) ??
    findDuplicate('route', configuration.routes) ??
    findDuplicate('workspace', configuration.workspaces) ??
    findUnknownService(configuration.routes, services) ??
    findWeightError(configuration.routes.filter((route) => !route.hasRelativeWeights)) ??
    findRelativeWeightError(configuration.routes.filter((route) => route.hasRelativeWeights)) ??
    findWorkspaceError(configuration.workspaces) ??
    findSharedKey(configuration.workspaces);
  return violation === undefined ? ok(configuration) : err(violation);
};

export default checkConfiguration;
