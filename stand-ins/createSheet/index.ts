const COLUMNS = [
  'kind',
  'name',
  'host',
  'path_prefix',
  'methods',
  'service',
  'weight_percent',
  'idempotent',
  'timeout_ms',
  'max_attempts',
  'slots',
  'connections',
] as const;

type Row = Partial<Record<(typeof COLUMNS)[number], string | number>>;

export interface SheetService {
  name: string;
  timeoutMs?: number;
  slots?: number;
  connections?: number;
}

export interface SheetRoute {
  name: string;
  host?: string;
  pathPrefix: string;
  methods?: string[];
  /** Weight in percent by service. */
  targets: Record<string, number>;
  isIdempotent?: boolean;
  timeoutMs?: number;
  maxAttempts?: number;
}

const buildServiceRow = (service: SheetService): Row => ({
  kind: 'service',
  name: service.name,
  timeout_ms: service.timeoutMs ?? 2_000,
  slots: service.slots ?? 20,
  connections: service.connections ?? 130,
});

const buildRouteRows = (route: SheetRoute): Row[] =>
  Object.entries(route.targets).map(([service, weightPercent]) => ({
    kind: 'route',
    name: route.name,
    host: route.host ?? '*',
    path_prefix: route.pathPrefix,
    methods: (route.methods ?? ['GET']).join('|'),
    service,
    weight_percent: weightPercent,
    idempotent: (route.isIdempotent ?? true) ? 'yes' : 'no',
    timeout_ms: route.timeoutMs ?? 2_000,
    max_attempts: route.maxAttempts ?? ((route.isIdempotent ?? true) ? 3 : 1),
  }));

/**
 * Creates a sheet in the CSV format that operators export.
 *
 * @param services - services of the sheet
 * @param routes - routes of the sheet
 * @returns CSV text with header
 */
export const createSheet = (services: SheetService[], routes: SheetRoute[]): string =>
  [
    COLUMNS.join(','),
    ...[...services.map(buildServiceRow), ...routes.flatMap(buildRouteRows)].map((row) =>
      COLUMNS.map((column) => row[column] ?? '').join(','),
    ),
    '',
  ].join('\n');

const ORDER_DESK_SERVICES = ['order-desk', 'harvest-ledger'];

/**
 * Creates the sheet of the Thibodeaux workload: stock lookups and bundle orders at the service
 * `order-desk`, and queries at the service `harvest-ledger`.
 *
 * @param options - `marker` changes one timeout, so that each marker yields different content
 */
export const createOrderDeskSheet = (options: { marker?: number } = {}): string =>
  createSheet(
    ORDER_DESK_SERVICES.map((name) => ({ name })),
    [
      { name: 'stock', pathPrefix: '/stock', targets: { 'order-desk': 100 } },
      {
        name: 'orders',
        pathPrefix: '/orders',
        methods: ['POST'],
        targets: { 'order-desk': 100 },
        isIdempotent: false,
      },
      { name: 'ledger', pathPrefix: '/ledger', targets: { 'harvest-ledger': 100 } },
      {
        name: 'marker',
        pathPrefix: '/marker',
        targets: { 'harvest-ledger': 100 },
        timeoutMs: 1_000 + (options.marker ?? 0),
      },
    ],
  );

/**
 * Creates a sheet of the size that the system is designed for.
 *
 * @param options - number of services and routes; `marker` changes the timeout of the first route
 */
export const createLargeSheet = (
  options: { services?: number; routes?: number; marker?: number } = {},
): string => {
  const services = Array.from({ length: options.services ?? 33 }, (_, index) => ({
    name: `service-${index}`,
  }));
  const routes = Array.from({ length: options.routes ?? 200 }, (_, index) => ({
    name: `route-${index}`,
    pathPrefix: `/service-${index % services.length}/part-${index}`,
    targets: { [`service-${index % services.length}`]: 100 },
    timeoutMs: index === 0 ? 1_000 + (options.marker ?? 0) : 2_000,
  }));
  return createSheet(services, routes);
};
