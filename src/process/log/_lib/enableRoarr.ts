/**
 * Makes roarr create real loggers. It reads ROARR_LOG once for each logger and returns one that
 * drops everything unless it is set, which would silence a daemon whatever its settings say.
 */

/** Whether the environment asks for log lines even before the destination is set. */

const isRequested = process.env.ROARR_LOG === 'true';

process.env.ROARR_LOG = 'true';

export default isRequested;
