/**
 * The part of undici that a node daemon uses, without fetch, WebSocket and caches.
 *
 * The bundle replaces `undici` by this module: importing the whole package costs about 2.5 MB of
 * resident memory more than its dispatchers alone.
 */
export { default as Agent } from 'undici/lib/dispatcher/agent.js';
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as errors } from 'undici/lib/core/errors.js';
