import tap from 'tap';

import assert from './assert.cjs';
import { Client, Pool, buildConnector } from './undici.js';

// Guards against failing probes in the bundle: only the full undici package adds these methods itself.
tap.test('the dispatchers of the bundle have a request method', async (t) => {
  t.type(Client.prototype.request, 'function');
  t.type(Pool.prototype.request, 'function');
  t.type(buildConnector, 'function');
});

// Guards against assertions without a message, for which Node.js parses the source of the bundle.
tap.test('a failed assertion has a message that does not quote the source', async (t) => {
  t.throws(() => assert(1 > 2), { code: 'ERR_ASSERTION', message: 'assertion failed' });
  t.throws(() => assert.ok(1 > 2), { code: 'ERR_ASSERTION', message: 'assertion failed' });
  t.throws(() => assert(false, 'no socket'), { code: 'ERR_ASSERTION', message: 'no socket' });
  t.throws(() => assert(false, new TypeError('no socket')), TypeError);
  t.doesNotThrow(() => assert(true));
  t.throws(() => assert.strictEqual(1, 2), { code: 'ERR_ASSERTION' });
});
