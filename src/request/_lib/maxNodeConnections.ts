/**
 * Maximum number of connections to another node. Requests, grant updates and probes share one pool,
 * which keeps the limit given at its first use.
 */
const MAX_NODE_CONNECTIONS = 256;

export default MAX_NODE_CONNECTIONS;
