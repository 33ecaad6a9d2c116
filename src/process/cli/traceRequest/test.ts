import tap from 'tap';

import { traceRequest } from './index.js';

const line = (time: number, message: string, context: object): string =>
  JSON.stringify({ context: { component: 'entry', logLevel: 30, ...context }, message, time });

tap.test('the lines of one request are merged from all files, ordered by time', async (t) => {
  const logs = new Map([
    [
      'entry.log',
      [
        line(30, 'request not served', { requestId: 'r1', reason: 'NO_SLOT' }),
        line(10, 'request not served', { requestId: 'r2' }),
        'r1 is mentioned by no line of this kind',
        '{"r1": broken',
      ].join('\n'),
    ],
    // A log collector may prefix lines with a timestamp and a host name.
    ['owner.log', `1.5 vm-2 ${line(20, 'forwarded request refused', { requestId: 'r1' })}`],
  ]);
  t.strictSame(
    traceRequest(logs, 'r1').map(({ atMs, source, message }) => [atMs, source, message]),
    [
      [20, 'owner.log', 'forwarded request refused'],
      [30, 'entry.log', 'request not served'],
    ],
  );
  t.strictSame(traceRequest(logs, 'r1')[1]?.facts, { reason: 'NO_SLOT' });
});

// Guards against matching ids by prefix: the id of a call starts with the id of its request.
tap.test('lines of a request whose id only starts with the given id are left out', async (t) => {
  const logs = new Map([['entry.log', line(1, 'request answered', { requestId: 'r1.c7' })]]);
  t.strictSame(traceRequest(logs, 'r1'), []);
});
