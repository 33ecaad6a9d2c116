import { create } from '@bufbuild/protobuf';

import {
  ConfigurationSchema,
  RouteSchema,
  RouteTargetSchema,
  ServiceSchema,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import { hashConfiguration } from '../../hashConfiguration/index.js';
import { SheetColumn, SheetRowKind } from '../../validateSheet/types.js';

import type {
  Configuration,
  Route,
  RouteTarget,
  Service,
} from '../../../_generated/foxtailvane/v1/configuration_pb.js';
import type { SheetRow } from '../../validateSheet/types.js';

const compareText = (left: string, right: string): number => {
  if (left === right) return 0;
  return left < right ? -1 : 1;
};

const readText = (row: SheetRow, column: SheetColumn): string => row.cells.get(column) ?? '';

const readNumber = (row: SheetRow, column: SheetColumn): number => Number(readText(row, column));

const buildService = (row: SheetRow): Service =>
  create(ServiceSchema, {
    name: readText(row, SheetColumn.Name),
    timeoutMs: readNumber(row, SheetColumn.TimeoutMs),
    slots: readNumber(row, SheetColumn.Slots),
    connections: readNumber(row, SheetColumn.Connections),
  });

const buildTarget = (row: SheetRow): RouteTarget =>
  create(RouteTargetSchema, {
    service: readText(row, SheetColumn.Service),
    weightPercent: readNumber(row, SheetColumn.WeightPercent),
  });

const buildRoute = (row: SheetRow, targets: RouteTarget[]): Route =>
  create(RouteSchema, {
    name: readText(row, SheetColumn.Name),
    host: readText(row, SheetColumn.Host).toLowerCase(),
    pathPrefix: readText(row, SheetColumn.PathPrefix),
    methods: readText(row, SheetColumn.Methods).split('|').toSorted(compareText),
    idempotent: readText(row, SheetColumn.Idempotent) === 'yes',
    timeoutMs: readNumber(row, SheetColumn.TimeoutMs),
    maxAttempts: readNumber(row, SheetColumn.MaxAttempts),
    targets: targets.toSorted((left, right) => compareText(left.service, right.service)),
  });

const buildRoutes = (rows: SheetRow[]): Route[] => {
  const routes = new Map<string, { first: SheetRow; targets: RouteTarget[] }>();
  rows.forEach((row) => {
    const name = readText(row, SheetColumn.Name);
    const route = routes.get(name);
    if (route) route.targets.push(buildTarget(row));
    else routes.set(name, { first: row, targets: [buildTarget(row)] });
  });
  return [...routes.values()].map(({ first, targets }) => buildRoute(first, targets));
};

const selectRowsOfKind = (rows: SheetRow[], kind: SheetRowKind): SheetRow[] =>
  rows.filter((row) => row.cells.get(SheetColumn.Kind) === kind);

/**
 * Builds a configuration from valid rows. Services, routes, methods and targets are sorted, so that
 * the content hash does not depend on their order in the sheet.
 *
 * @param rows - rows without faults
 * @param version - version number of the configuration
 */
const buildConfiguration = (rows: SheetRow[], version: number): Configuration => {
  const services = selectRowsOfKind(rows, SheetRowKind.Service)
    .map(buildService)
    .toSorted((left, right) => compareText(left.name, right.name));
  const routes = buildRoutes(selectRowsOfKind(rows, SheetRowKind.Route)).toSorted((left, right) =>
    compareText(left.name, right.name),
  );
  const contentHash = hashConfiguration({ services, routes });
  return create(ConfigurationSchema, { version, contentHash, services, routes });
};

export default buildConfiguration;
