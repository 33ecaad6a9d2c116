import tap from 'tap';

import { buildConfiguration } from '../../../stand-ins/configurations/index.js';
import type { Configuration } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { SheetColumn, parseSheet } from '../parseSheet/index.js';
import { DifferenceKind, diffConfigurations } from './index.js';

const HEADER = Object.values(SheetColumn).join(',');
const SERVICES = ['service,a,,,,,,,500,,20,130', 'service,b,,,,,,,500,,20,130'];

const parse = (...rows: string[]): Configuration => {
  const parsed = parseSheet([HEADER, ...rows].join('\n'), { version: 1 });
  if (parsed.isErr()) throw new Error(JSON.stringify(parsed.error.faults));
  return parsed.value;
};

tap.test('the same content in another order has no differences', async (t) => {
  t.strictSame(diffConfigurations(parse(...SERVICES), parse(...SERVICES.toReversed())), []);
});

tap.test('lists added, removed and changed rows by name, with the changed fields', async (t) => {
  const before = parse(
    ...SERVICES,
    'route,gone,*,/gone,GET,a,100,yes,500,1,,',
    'route,kept,*,/kept,GET,a,100,yes,500,1,,',
  );
  const after = parse(
    'service,a,,,,,,,500,,25,130',
    'service,c,,,,,,,500,,20,130',
    'route,kept,*,/kept,GET,a,40,yes,500,1,,',
    'route,kept,*,/kept,GET,c,60,yes,500,1,,',
  );
  t.match(diffConfigurations(before, after), [
    { name: 'a', kind: DifferenceKind.Changed, fields: [{ field: 'slots', after: '25' }] },
    { subject: 'service', name: 'b', kind: DifferenceKind.Removed },
    { subject: 'service', name: 'c', kind: DifferenceKind.Added },
    { subject: 'route', name: 'gone', kind: DifferenceKind.Removed },
    {
      subject: 'route',
      name: 'kept',
      fields: [{ field: 'service', before: 'a 100%', after: 'a 40%, c 60%' }],
    },
  ]);
});

tap.test('lists every row as added when no configuration is in force', async (t) => {
  const differences = diffConfigurations(undefined, parse(...SERVICES));
  t.strictSame(
    differences.map(({ kind }) => kind),
    [DifferenceKind.Added, DifferenceKind.Added],
  );
});

tap.test('lists the workspaces whose keys or limits differ', async (t) => {
  const digest = Buffer.alloc(32, 1);
  const before = buildConfiguration(1, {
    workspaces: [{ name: 'elm' }, { name: 'oak', keyDigests: [digest] }],
  });
  const after = buildConfiguration(2, { workspaces: [{ name: 'elm', burst: 2 }, { name: 'oak' }] });
  t.match(diffConfigurations(before, after), [
    { subject: 'workspace', name: 'elm', fields: [{ field: 'burst', before: '0', after: '2' }] },
    { name: 'oak', fields: [{ field: 'key_digests', before: '01010101', after: '' }] },
  ]);
});
