/**
 * The part of undici that a node daemon uses, without fetch, WebSocket and caches.
 *
 * The bundle replaces `undici` with this module: the full package takes about 2.5 MB more resident
 * memory than its dispatchers alone.
 */
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

// The full package does this when it is loaded; without it, dispatchers have no `request` method.
Object.assign(Dispatcher.prototype, api);

export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as errors } from 'undici/lib/core/errors.js';
