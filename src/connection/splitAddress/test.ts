import tap from 'tap';

import { formatAddress, splitAddress } from './index.js';

tap.test('splitting and joining preserves an address, including IPv6 brackets', async (t) => {
  ['127.0.0.1:7400', '[::1]:7400', '[fd00::5]:0'].forEach((address) => {
    t.equal(formatAddress(splitAddress(address)), address);
  });
  t.strictSame(splitAddress('[::1]:7400'), { host: '::1', port: 7_400 });
});
