import tap from 'tap';

import { validateSheet } from './index.js';
import { SheetColumn } from './types.js';

import type { SheetRow } from './index.js';

const createServiceRow = (row: number, name: string): SheetRow => ({
  row,
  cells: new Map([
    [SheetColumn.Kind, 'service'],
    [SheetColumn.Name, name],
    [SheetColumn.TimeoutMs, '500'],
    [SheetColumn.Slots, '20'],
    [SheetColumn.Connections, '130'],
  ]),
});

tap.test('valid rows have no faults', async (t) => {
  t.strictSame(validateSheet([createServiceRow(2, 'a'), createServiceRow(3, 'b')]), []);
});

tap.test('the fault of a repeated service names the row of the first declaration', async (t) => {
  const faults = validateSheet([createServiceRow(2, 'a'), createServiceRow(5, 'a')]);
  t.match(faults, [{ row: 5, column: 'name', value: 'a', expected: /row 2/ }]);
});

tap.test('a column that is missing from the header causes no fault in the rows', async (t) => {
  const row = createServiceRow(2, 'a');
  const cells = new Map([...row.cells].filter(([column]) => column !== SheetColumn.Slots));
  t.strictSame(validateSheet([{ row: 2, cells }]), []);
});
