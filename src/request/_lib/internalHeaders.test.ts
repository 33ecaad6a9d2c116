import tap from 'tap';

import {
  formatCallHeader,
  formatLoad,
  formatGrantUpdate,
  formatKeyHeader,
  parseCallHeader,
  parseCount,
  parseKeyHeader,
  parseLoad,
  parseGrantUpdate,
} from './internalHeaders.js';

tap.test('a call header with special characters round-trips', async (t) => {
  const call = {
    serverId: 'desk;1 é',
    routeName: 'a;b%3B',
    isIdempotent: true,
    requestId: 'n1-7',
    version: 3,
    entryNodeId: 'n,1',
    callerService: 'order;desk',
    priority: 2,
    objectiveMs: 600,
    isReturn: true,
  };
  t.strictSame(parseCallHeader(formatCallHeader(call)), call);
});

tap.test('malformed header values are rejected', async (t) => {
  [
    '',
    'a;b',
    'a;b;1;r;3;n;s;1;600;0;extra',
    ';b;1;r;3;n;s;1;600;0',
    'a;b;1;r;3;n;s;x;600;0',
    'a;b;1;r;3;n;s;1;-5;0',
  ].forEach((value) => t.equal(parseCallHeader(value), undefined, value));
  ['', '-1', '1.5', '1e3', ' 1', '9999999999'].forEach((value) =>
    t.equal(parseCount(value), undefined, value),
  );
  ['', '1', 'NaN', '-0.5', 'Infinity', '0.5', '0.50;-1', '0.50;x', '0.50;1;2'].forEach((value) =>
    t.equal(parseLoad(value), undefined, value),
  );
});

tap.test('load and grant update round-trip', async (t) => {
  t.strictSame(parseLoad(formatLoad({ load: 0.456, holdMs: 220.4 })), { load: 0.46, holdMs: 220 });
  const update = { renewed: ['a.1', 'a.2'], returned: [] };
  t.strictSame(parseGrantUpdate(formatGrantUpdate(update)), update);
});

tap.test('a key header round-trips, and a malformed one proves nothing', async (t) => {
  const key = { workspaceName: 'oak; 1', keyId: '0123456789abcdef', proofLeftMs: 4_000 };
  t.strictSame(parseKeyHeader(formatKeyHeader(key)), key);
  const unlimited = { ...key, proofLeftMs: Infinity };
  t.strictSame(parseKeyHeader(formatKeyHeader(unlimited)), unlimited);
  t.equal(parseKeyHeader('oak;0123;-5')?.proofLeftMs, 0);
  t.equal(parseKeyHeader('oak;0123')?.proofLeftMs, 0);
  [undefined, '', 'oak', ';0123'].forEach((value) => t.equal(parseKeyHeader(value), undefined));
});
