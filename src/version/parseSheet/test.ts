import fc from 'fast-check';
import tap from 'tap';

import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { MAX_SHEET_BYTES, MAX_SHEET_LINES, SheetColumn, parseSheet } from './index.js';

const HEADER = Object.values(SheetColumn).join(',');
const ORDER_DESK = 'service,order-desk,,,,,,,500,,20,130';
const LEDGER = 'service,harvest-ledger,,,,,,,800,,20,130';
const LOOKUP = 'route,stock,shop.example,/stock,GET|HEAD,order-desk,100,yes,500,2,,';

const join = (...rows: string[]): string => `${[HEADER, ...rows].join('\n')}\n`;

const parse = (sheet: string | Uint8Array, version = 1): Configuration => {
  const parsed = parseSheet(sheet, { version });
  if (parsed.isErr()) throw new Error(JSON.stringify(parsed.error.faults));
  return parsed.value;
};

const listFaults = (sheet: string | Uint8Array) => {
  const parsed = parseSheet(sheet, { version: 1 });
  return parsed.isErr() ? parsed.error.faults : [];
};

const listPositions = (sheet: string | Uint8Array): string[] =>
  listFaults(sheet).map(({ row, column }) => `${row} ${column}`);

tap.test('parses a valid sheet into a sorted configuration with its content hash', async (t) => {
  const configuration = parse(join(ORDER_DESK, LOOKUP, LEDGER), 7);
  t.equal(configuration.version, 7);
  t.equal(configuration.contentHash.length, 32);
  t.strictSame(
    configuration.services.map(({ name, timeoutMs, slots, connections }) => ({
      name,
      timeoutMs,
      slots,
      connections,
    })),
    [
      { name: 'harvest-ledger', timeoutMs: 800, slots: 20, connections: 130 },
      { name: 'order-desk', timeoutMs: 500, slots: 20, connections: 130 },
    ],
  );
  const [route] = configuration.routes;
  t.match(route, {
    name: 'stock',
    host: 'shop.example',
    pathPrefix: '/stock',
    methods: ['GET', 'HEAD'],
    idempotent: true,
    timeoutMs: 500,
    maxAttempts: 2,
  });
});

tap.test(
  'the hash does not depend on row order, method order or line endings, so a new export is not a conflict',
  async (t) => {
    const split = (first: string, second: string) =>
      join(
        ...[ORDER_DESK, LEDGER],
        `route,mixed,Shop.Example,/m,${first},order-desk,30,no,500,1,,`,
        `route,mixed,Shop.Example,/m,${second},harvest-ledger,70,no,500,1,,`,
      );
    const written = parse(split('GET|POST', 'GET|POST'));
    const lines = split('POST|GET', 'POST|GET').trim().split('\n');
    const reordered = ['\uFEFF', lines[0], '\r\n\r\n', lines.slice(1).reverse().join('\r\n')];
    const reread = parse(Buffer.from(reordered.join('')), 2);
    t.strictSame(Buffer.from(reread.contentHash), Buffer.from(written.contentHash));
  },
);

tap.test('columns may be in any order', async (t) => {
  const columns = Object.values(SheetColumn).toReversed().join(',');
  const row = ORDER_DESK.split(',').toReversed().join(',');
  const parsed = parse(`${columns}\n${row}`);
  t.match(parsed.services[0], { name: 'order-desk', timeoutMs: 500 });
});

tap.test('lists all faults of a sheet with row, column and value', async (t) => {
  const sheet = join(
    ORDER_DESK,
    'service,order-desk,,,,,,,500,,20,130',
    'service,bad name,,,,,,,0,,1.5,',
    'route,stock,shop:80,stock,GET|GET,absent,90,maybe,5s,0,3,',
    'thing,x,,,,,,,,,,',
    'route,split,a.example,/a,GET,order-desk,60,yes,500,1,,',
    'route,split,b.example,/a,GET,order-desk,60,no,500,1,,',
    'route,copy,a.example,/a,GET|PUT,order-desk,100,yes,500,1,,',
  );
  t.strictSame(listPositions(sheet), [
    '3 name',
    '4 name',
    '4 timeout_ms',
    '4 slots',
    '4 connections',
    '5 host',
    '5 path_prefix',
    '5 methods',
    '5 service',
    '5 weight_percent',
    '5 idempotent',
    '5 timeout_ms',
    '5 max_attempts',
    '5 slots',
    '6 kind',
    '8 host',
    '8 service',
    '8 weight_percent',
    '8 idempotent',
    '9 path_prefix',
  ]);
  t.match(
    listFaults(sheet).find(({ row, column }) => row === 5 && column === 'weight_percent'),
    { value: '90', expected: /add up to 100 \(they add up to 90\)/ },
  );
});

tap.test('reports unknown, repeated and missing columns together', async (t) => {
  const header = HEADER.replace('slots', 'slot').replace('host', 'name');
  t.strictSame(listPositions(`${header}\n${ORDER_DESK}\n`), [
    '1 slot',
    '1 name',
    '1 host',
    '1 slots',
  ]);
});

tap.test('reports invalid UTF-8 with row and column instead of replacing it', async (t) => {
  const bytes = Buffer.from(join(ORDER_DESK, LEDGER));
  bytes[bytes.indexOf('harvest')] = 0xe9;
  t.match(listFaults(bytes), [{ row: 3, column: 'name', expected: 'text in valid UTF-8' }]);
});

tap.test('an unclosed quote does not hide the faults of later rows', async (t) => {
  const sheet = join(ORDER_DESK, 'service,"ledger,,,,,,,500,,20,130', 'service,x,,,,,,,0,,20,130');
  t.strictSame(listPositions(sheet), ['3 ', '4 timeout_ms']);
});

tap.test('reports a row of the wrong length with its number of cells', async (t) => {
  t.match(listFaults(join(ORDER_DESK, `${LEDGER},`)), [{ row: 3, value: '13 cells' }]);
});

tap.test(
  'refuses a sheet without services, because an empty export would remove everything',
  async (t) => {
    t.strictSame(listPositions(join()), ['0 kind']);
    t.strictSame(listPositions(''), ['1 ']);
  },
);

tap.test('refuses sheets above the size limits without parsing them', async (t) => {
  t.match(listFaults('x'.repeat(MAX_SHEET_BYTES + 1)), [{ row: 0, expected: /bytes/ }]);
  const rows = Array.from({ length: MAX_SHEET_LINES + 1 }, (_, index) =>
    ORDER_DESK.replace('order-desk', `s${index}`),
  );
  t.match(listFaults(join(...rows)), [{ row: 0, expected: /lines/ }]);
});

tap.test('reports one fault for a row of excessive length, not one per cell', async (t) => {
  const sheet = join(ORDER_DESK, ','.repeat(100_000), 'service,x,,,,,,,0,,20,130');
  t.strictSame(listPositions(sheet), ['3 ', '4 timeout_ms']);
});

tap.test('never throws, and lists at least one fault of a refused sheet', async (t) => {
  const cell = fc.oneof(
    fc.constantFrom('service', 'route', 'order-desk', '*', '/', 'GET', '100', 'yes', '', '"', '\n'),
    fc.string({ unit: 'binary', maxLength: 8 }),
  );
  const row = fc.array(cell, { maxLength: 14 }).map((cells) => cells.join(','));
  const sheet = fc.oneof(
    fc.string({ unit: 'binary' }),
    fc.array(row, { maxLength: 6 }).map((rows) => join(...rows)),
  );
  const readsWithoutThrowing = (input: string | Uint8Array): boolean => {
    const parsed = parseSheet(input, { version: 1 });
    return parsed.isOk() || parsed.error.faults.length > 0;
  };
  fc.assert(fc.property(sheet, readsWithoutThrowing), { numRuns: 500 });
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), readsWithoutThrowing));
  t.pass('no input threw');
});

tap.test('reports a single invalid cell of a valid sheet at its row and column', async (t) => {
  const rows = [ORDER_DESK, LEDGER, LOOKUP].map((line) => line.split(','));
  const badValue = fc.constantFrom('é', 'a b', '-1', '=1+1', '\uFFFD', '{}');
  const columns = Object.values(SheetColumn);
  const property = fc.property(
    fc.integer({ min: 0, max: rows.length - 1 }),
    fc.integer({ min: 0, max: columns.length - 1 }),
    badValue,
    (rowIndex, columnIndex, value) => {
      const changed = rows.map((cells, index) =>
        index === rowIndex ? cells.with(columnIndex, value) : cells,
      );
      const positions = listPositions(join(...changed.map((cells) => cells.join(','))));
      return positions.includes(`${rowIndex + 2} ${columns[columnIndex]}`);
    },
  );
  fc.assert(property, { numRuns: 300 });
  t.pass('every fault was reported');
});
