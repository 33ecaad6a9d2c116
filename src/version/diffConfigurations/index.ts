/** Compares two configurations for display to operators. */
import type {
  Configuration,
  Route,
  Service,
  Workspace,
} from '../../_generated/foxtailvane/v1/configuration_pb.js';

/** How a row differs. */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** A field whose value differs. */
export interface FieldDifference {
  /** Column name of the sheet. */
  field: string;
  before: string;
  after: string;
}

/** A row that is not the same in both configurations. */
export interface ConfigurationDifference {
  subject: 'service' | 'route' | 'workspace';
  name: string;
  kind: DifferenceKind;
  /** Set when the kind is Changed. */
  fields: FieldDifference[];
}

type Fields = Record<string, string>;

const listServiceFields = (service: Service): Fields => ({
  timeout_ms: String(service.timeoutMs),
  slots: String(service.slots),
  connections: String(service.connections),
});

const listRouteFields = (route: Route): Fields => ({
  host: route.host,
  path_prefix: route.pathPrefix,
  methods: route.methods.join('|'),
  service: route.targets.map((target) => `${target.service} ${target.weightPercent}%`).join(', '),
  idempotent: route.idempotent ? 'yes' : 'no',
  timeout_ms: String(route.timeoutMs),
  max_attempts: String(route.maxAttempts),
});

/** Enough of a digest for an operator to tell keys apart. */
const SHOWN_DIGEST_BYTES = 4;

const listWorkspaceFields = (workspace: Workspace): Fields => ({
  key_digests: workspace.keyDigests
    .map((digest) => Buffer.from(digest.subarray(0, SHOWN_DIGEST_BYTES)).toString('hex'))
    .join(', '),
  priority: workspace.priority === undefined ? '' : String(workspace.priority),
  rate_per_second: String(workspace.ratePerSecond),
  burst: String(workspace.burst),
});

const compareFields = (before: Fields, after: Fields): FieldDifference[] =>
  Object.keys(before)
    .filter((field) => before[field] !== after[field])
    .map((field) => ({ field, before: before[field] ?? '', after: after[field] ?? '' }));

const comparePair = (
  subject: ConfigurationDifference['subject'],
  name: string,
  before: Fields | undefined,
  after: Fields | undefined,
): ConfigurationDifference[] => {
  if (!before) return [{ subject, name, kind: DifferenceKind.Added, fields: [] }];
  if (!after) return [{ subject, name, kind: DifferenceKind.Removed, fields: [] }];
  const fields = compareFields(before, after);
  return fields.length === 0 ? [] : [{ subject, name, kind: DifferenceKind.Changed, fields }];
};

const compareAll = <Item extends { name: string }>(
  subject: ConfigurationDifference['subject'],
  before: Item[],
  after: Item[],
  listFields: (item: Item) => Fields,
): ConfigurationDifference[] => {
  const fieldsBefore = new Map(before.map((item) => [item.name, listFields(item)]));
  const fieldsAfter = new Map(after.map((item) => [item.name, listFields(item)]));
  const names = [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].toSorted();
  return names.flatMap((name) =>
    comparePair(subject, name, fieldsBefore.get(name), fieldsAfter.get(name)),
  );
};

/**
 * Lists the changes that applying a configuration would make.
 *
 * @param before - configuration in force; undefined when there is none
 * @param after - intended configuration
 * @returns services, then routes, then workspaces, each sorted by name; empty when both have the same content
 *
 * @example
 * diffConfigurations(inForce, intended).map(({ kind, name }) => `${kind} ${name}`);
 */
export const diffConfigurations = (
  before: Configuration | undefined,
  after: Configuration,
): ConfigurationDifference[] => [
  ...compareAll('service', before?.services ?? [], after.services, listServiceFields),
  ...compareAll('route', before?.routes ?? [], after.routes, listRouteFields),
  ...compareAll('workspace', before?.workspaces ?? [], after.workspaces, listWorkspaceFields),
];
