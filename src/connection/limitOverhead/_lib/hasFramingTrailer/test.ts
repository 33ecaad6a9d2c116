import tap from 'tap';

import hasFramingTrailer from './index.js';

const encode = (parts: string[]): Buffer[] => parts.map((part) => Buffer.from(part));

// Guards against a connection that is closed because of ordinary trailers, or kept in spite of others.
tap.test('only names of framing fields count', async (t) => {
  t.notOk(hasFramingTrailer([]));
  t.notOk(hasFramingTrailer(encode(['x-sum', 'connection', 'x-b', 'close'])));
  t.ok(hasFramingTrailer(encode(['x-sum', 'a', 'Connection', 'close'])));
  t.ok(hasFramingTrailer(encode(['transfer-encoding', 'gzip'])));
});
