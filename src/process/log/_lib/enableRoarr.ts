/**
 * Enables roarr. It reads ROARR_LOG when a logger is created and, unless the variable is set, returns
 * one that drops every line. A daemon would then log nothing, whatever its settings say.
 */

/** Whether the environment enables logging before the destination is configured. */

const isLoggingRequested = process.env.ROARR_LOG === 'true';

process.env.ROARR_LOG = 'true';

export default isLoggingRequested;
