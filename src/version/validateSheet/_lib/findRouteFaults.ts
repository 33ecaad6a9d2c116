/** Finds the faults of route rows that depend on other rows. */
import { SheetColumn } from '../types.js';
import { CELL_RULES } from './cellRules.js';
import { createFault } from './createFault.js';

import type { SheetFault, SheetRow } from '../types.js';

const FULL_WEIGHT_PERCENT = 100;

/** Columns that must have the same value in all rows of a route. */
const SHARED_COLUMNS = [
  SheetColumn.Host,
  SheetColumn.PathPrefix,
  SheetColumn.Methods,
  SheetColumn.Idempotent,
  SheetColumn.TimeoutMs,
  SheetColumn.MaxAttempts,
];

const readCell = (row: SheetRow, column: SheetColumn): string => row.cells.get(column) ?? '';

const isValidCell = (row: SheetRow, column: SheetColumn): boolean =>
  CELL_RULES[column].accepts(readCell(row, column));

const groupByName = (rows: SheetRow[]): SheetRow[][] => {
  const groups = new Map<string, SheetRow[]>();
  rows.forEach((row) => {
    const name = readCell(row, SheetColumn.Name);
    if (name === '') return;
    const group = groups.get(name);
    if (group) group.push(row);
    else groups.set(name, [row]);
  });
  return [...groups.values()];
};

const findInconsistentCells = ([first, ...others]: SheetRow[]): SheetFault[] => {
  if (!first) return [];
  return others.flatMap((row) =>
    SHARED_COLUMNS.filter((column) => readCell(row, column) !== readCell(first, column)).map(
      (column) =>
        createFault(
          row.row,
          column,
          readCell(row, column),
          `"${readCell(first, column)}" as in row ${first.row} of the same route`,
        ),
    ),
  );
};

const findRepeatedTargets = (group: SheetRow[]): SheetFault[] => {
  const firstRows = new Map<string, number>();
  return group.flatMap((row) => {
    const service = readCell(row, SheetColumn.Service);
    const first = firstRows.get(service);
    if (service === '') return [];
    if (first === undefined) {
      firstRows.set(service, row.row);
      return [];
    }
    const expected = `a service that the route does not have yet (row ${first} has it)`;
    return [createFault(row.row, SheetColumn.Service, service, expected)];
  });
};

const findWeightFault = (group: SheetRow[]): SheetFault[] => {
  const last = group.at(-1);
  // An invalid weight is reported as a fault of its cell; a sum without it would mislead.
  if (!last || !group.every((row) => isValidCell(row, SheetColumn.WeightPercent))) return [];
  const weights = group.map((row) => Number(readCell(row, SheetColumn.WeightPercent)));
  const sum = weights.reduce((total, weight) => total + weight, 0);
  if (sum === FULL_WEIGHT_PERCENT) return [];
  const name = readCell(last, SheetColumn.Name);
  const expected = `weights of route "${name}" that add up to 100 (they add up to ${sum})`;
  return [createFault(last.row, SheetColumn.WeightPercent, weights.join('+'), expected)];
};

const findUndeclaredServices = (
  rows: SheetRow[],
  declaredServices: ReadonlySet<string>,
): SheetFault[] =>
  rows
    .filter((row) => isValidCell(row, SheetColumn.Service))
    .filter((row) => !declaredServices.has(readCell(row, SheetColumn.Service)))
    .map((row) =>
      createFault(
        row.row,
        SheetColumn.Service,
        readCell(row, SheetColumn.Service),
        'a service that a service row of this sheet declares',
      ),
    );

/** Finds routes with the same host, prefix and method, between which the choice is arbitrary. */
const findOverlappingRoutes = (groups: SheetRow[][]): SheetFault[] => {
  const rowsByMatch = new Map<string, SheetRow>();
  return groups.flatMap(([row]) => {
    if (!row || !isValidCell(row, SheetColumn.Methods)) return [];
    const host = readCell(row, SheetColumn.Host).toLowerCase();
    const pathPrefix = readCell(row, SheetColumn.PathPrefix);
    return readCell(row, SheetColumn.Methods)
      .split('|')
      .flatMap((method) => {
        const key = `${method} ${host} ${pathPrefix}`;
        const earlierRow = rowsByMatch.get(key);
        if (!earlierRow) {
          rowsByMatch.set(key, row);
          return [];
        }
        const expected =
          `a host, path prefix and method that route "${readCell(earlierRow, SheetColumn.Name)}" ` +
          `(row ${earlierRow.row}) does not match already (${method} ${host}${pathPrefix})`;
        return [createFault(row.row, SheetColumn.PathPrefix, pathPrefix, expected)];
      });
  });
};

/**
 * Lists the faults of routes: inconsistent rows, repeated targets, weights that do not add up to 100,
 * undeclared services and overlapping routes.
 *
 * @param rows - route rows in the order of the sheet
 * @param declaredServices - names of the services that the sheet declares
 */
const findRouteFaults = (rows: SheetRow[], declaredServices: ReadonlySet<string>): SheetFault[] => {
  const groups = groupByName(rows);
  return [
    ...groups.flatMap(findInconsistentCells),
    ...groups.flatMap(findRepeatedTargets),
    ...groups.flatMap(findWeightFault),
    ...findUndeclaredServices(rows, declaredServices),
    ...findOverlappingRoutes(groups),
  ];
};

export default findRouteFaults;
