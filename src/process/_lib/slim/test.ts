import tap from 'tap';

import { Client, Pool, buildConnector } from './undici.js';

// Guards against a bundle whose probes fail because only the whole package adds these methods.
tap.test('the dispatchers of the bundle can send a request', async (t) => {
  t.type(Client.prototype.request, 'function');
  t.type(Pool.prototype.request, 'function');
  t.type(buildConnector, 'function');
});
