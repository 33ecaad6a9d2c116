/**
 * Connections to one other node. Requests, loans and questions to silent nodes share a pool, which keeps
 * the limit of its first use.
 */
const MAX_NODE_CONNECTIONS = 256;

export default MAX_NODE_CONNECTIONS;
