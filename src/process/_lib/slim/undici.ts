/**
 * The part of undici that a node daemon uses, without fetch, WebSocket and caches.
 *
 * The bundle replaces `undici` by this module: importing the whole package costs about 2.5 MB of
 * resident memory more than its dispatchers alone.
 */
import api from 'undici/lib/api/index.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

// The whole package does this when it is loaded; without it dispatchers have no `request`.
Object.assign(Dispatcher.prototype, api);

export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
export { default as errors } from 'undici/lib/core/errors.js';
