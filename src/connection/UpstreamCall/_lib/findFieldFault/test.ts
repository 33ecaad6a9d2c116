import tap from 'tap';

import findFieldFault from './index.js';

// Guards against a field that splits a response, or that Node.js refuses while it writes a head.
tap.test('fields that cannot be sent are found', async (t) => {
  t.equal(findFieldFault([]), undefined);
  t.equal(findFieldFault(['x-a', '', 'X-B', 'a\tb \xe9']), undefined);
  [
    ['x a', 'b'],
    ['', 'b'],
    ['x-a:', 'b'],
    ['x-a', 'a\r\nb: c'],
    ['x-a', 'a\0'],
    ['x-a', 'a\x7f'],
    ['x-a', '\u0100'],
    ['x-a', 'b', 'x-c', '\n'],
  ].forEach((fields) => t.ok(findFieldFault(fields) instanceof Error, JSON.stringify(fields)));
});
