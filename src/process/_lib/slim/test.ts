import tap from 'tap';

import { Client, Pool, buildConnector } from './undici.js';

// Guards against failing probes in the bundle: only the full undici package adds these methods itself.
tap.test('the dispatchers of the bundle have a request method', async (t) => {
  t.type(Client.prototype.request, 'function');
  t.type(Pool.prototype.request, 'function');
  t.type(buildConnector, 'function');
});
