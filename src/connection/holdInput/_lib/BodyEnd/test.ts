import tap from 'tap';

import ChunksEnd from './ChunksEnd.js';
import LengthEnd from './LengthEnd.js';

const NEXT = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

const BODIES: Record<string, string> = {
  empty: '0\r\n\r\n',
  'several chunks': '4\r\nabcd\r\n1A\r\n01234567890123456789012345\r\n0\r\n\r\n',
  'an extension': '4;name=5\r\nabcd\r\n0;last\r\n\r\n',
  trailers: '1\r\na\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n',
  'data like an end': '9\r\n\r\n0\r\n\r\n\r\n\r\n000\r\n\r\n',
};

// Guards against requests behind a body that are parsed with it, however the bytes are cut.
Object.entries(BODIES).forEach(([name, body]) => {
  tap.test(`the end of a body in chunks is found: ${name}`, (t) => {
    const bytes = Buffer.from(body + NEXT, 'latin1');
    t.equal(new ChunksEnd().pass(bytes), body.length);
    const cutSizes = Array.from({ length: bytes.length }, (_, index) => index);
    cutSizes.forEach((cutSize) => {
      const end = new ChunksEnd();
      const first = end.pass(bytes.subarray(0, cutSize));
      t.equal(first, Math.min(cutSize, body.length));
      t.equal(first + end.pass(bytes.subarray(first)), body.length);
    });
    t.end();
  });
});

// Guards against the length of a body that counts for each piece of it anew.
tap.test('the end of a body with a length is found in its last piece', (t) => {
  const end = new LengthEnd(10);
  t.equal(end.pass(Buffer.alloc(6)), 6);
  t.equal(end.pass(Buffer.alloc(6)), 4);
  t.equal(end.pass(Buffer.alloc(6)), 0);
  t.end();
});
