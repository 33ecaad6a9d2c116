import tap from 'tap';

import listHeaderValues from './index.js';

// Guards against a repeated header of which one value is overlooked, or a value that is taken for a name.
tap.test('all values of a header are listed in order, whatever the case of its name', async (t) => {
  const headers = ['Link', 'a', 'x-kind', 'link', 'LINK', 'b'];
  t.strictSame(listHeaderValues(headers, 'link'), ['a', 'b']);
  t.strictSame(listHeaderValues(headers, 'absent'), []);
});
