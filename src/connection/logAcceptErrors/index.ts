import type { Server } from 'node:net';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';

/** The system reports the same error for each connection that waits. */
const LINES_PER_SECOND = 5;

const acceptLog = createRateLimitedLogger('listener', LINES_PER_SECOND);

/**
 * Logs the errors of a listening server. The system can fail to accept a connection, for example when it is
 * short of memory for sockets. The server goes on listening, but an event without a listener would end the
 * process.
 *
 * @param server - a server that listens, without listeners that reject its start
 */
const logAcceptErrors = (server: Server): void => {
  server.on('error', ({ message }: Error) =>
    acceptLog.info(performance.now(), () => ({ reason: message }), 'connection not accepted'),
  );
};

export default logAcceptErrors;
