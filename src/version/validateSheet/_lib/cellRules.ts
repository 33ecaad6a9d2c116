/** Validation rules for the cells of a sheet. */
import { SheetColumn, SheetRowKind } from '../types.js';

/** The largest `timeout_ms` of a service or a route. */
export const MAX_TIMEOUT_MS = 600_000;
const MAX_ATTEMPTS = 10;
const MAX_SLOTS = 100_000;
const MAX_CONNECTIONS = 100_000;
const MAX_WEIGHT_PERCENT = 100;
const MAX_HOST_LENGTH = 253;
const MAX_PATH_LENGTH = 1_024;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const HOST_LABEL_PATTERN = /^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/i;
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$/;
const INTEGER_PATTERN = /^(0|[1-9][0-9]{0,9})$/;
const KINDS: string[] = Object.values(SheetRowKind);
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];

interface CellRule {
  expected: string;
  accepts: (value: string) => boolean;
}

const createIntegerRule = (lowest: number, highest: number): CellRule => ({
  expected: `a whole number from ${lowest} to ${highest}`,
  accepts: (value) =>
    INTEGER_PATTERN.test(value) && Number(value) >= lowest && Number(value) <= highest,
});

const nameRule: CellRule = {
  expected: 'a name of 1 to 128 letters, digits, ".", "_" or "-", starting with a letter or digit',
  accepts: (value) => NAME_PATTERN.test(value),
};

const isHost = (value: string): boolean =>
  value === '*' ||
  (value.length <= MAX_HOST_LENGTH &&
    value.split('.').every((label) => HOST_LABEL_PATTERN.test(label)));

const isPathPrefix = (value: string): boolean =>
  value.length <= MAX_PATH_LENGTH &&
  PATH_PATTERN.test(value) &&
  !value.includes('//') &&
  !value.split('/').some((segment) => segment === '.' || segment === '..');

const isMethodList = (value: string): boolean => {
  const methods = value.split('|');
  return (
    methods.every((method) => METHODS.includes(method)) && new Set(methods).size === methods.length
  );
};

/** Rule of each column; applies in rows of the kinds that use the column. */
export const CELL_RULES: Record<SheetColumn, CellRule> = {
  [SheetColumn.Kind]: {
    expected: '"service" or "route"',
    accepts: (value) => KINDS.includes(value),
  },
  [SheetColumn.Name]: nameRule,
  [SheetColumn.Host]: { expected: 'a host name without port, or "*"', accepts: isHost },
  [SheetColumn.PathPrefix]: {
    expected:
      'a path that starts with "/", without query, "//", "." or ".." segments, of at most ' +
      `${MAX_PATH_LENGTH} characters`,
    accepts: isPathPrefix,
  },
  [SheetColumn.Methods]: {
    expected: `distinct methods joined by "|", out of ${METHODS.join(', ')}`,
    accepts: isMethodList,
  },
  [SheetColumn.Service]: nameRule,
  [SheetColumn.WeightPercent]: createIntegerRule(0, MAX_WEIGHT_PERCENT),
  [SheetColumn.Idempotent]: {
    expected: '"yes" or "no"',
    accepts: (value) => value === 'yes' || value === 'no',
  },
  [SheetColumn.TimeoutMs]: createIntegerRule(1, MAX_TIMEOUT_MS),
  [SheetColumn.MaxAttempts]: createIntegerRule(1, MAX_ATTEMPTS),
  [SheetColumn.Slots]: createIntegerRule(1, MAX_SLOTS),
  [SheetColumn.Connections]: createIntegerRule(1, MAX_CONNECTIONS),
};

/** Columns used by each row kind; the other columns must be empty. */
export const COLUMNS_BY_KIND: Record<SheetRowKind, ReadonlySet<SheetColumn>> = {
  [SheetRowKind.Service]: new Set([
    SheetColumn.Kind,
    SheetColumn.Name,
    SheetColumn.TimeoutMs,
    SheetColumn.Slots,
    SheetColumn.Connections,
  ]),
  [SheetRowKind.Route]: new Set([
    SheetColumn.Kind,
    SheetColumn.Name,
    SheetColumn.Host,
    SheetColumn.PathPrefix,
    SheetColumn.Methods,
    SheetColumn.Service,
    SheetColumn.WeightPercent,
    SheetColumn.Idempotent,
    SheetColumn.TimeoutMs,
    SheetColumn.MaxAttempts,
  ]),
};
