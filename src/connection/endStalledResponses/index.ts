import { Server as HttpsServer } from 'node:https';

import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { createRateLimitedLogger } from '../../process/log/createRateLimitedLogger/index.js';

/** Far above the deadlines of requests; a caller that takes nothing for so long has left or is stuck. */
const DEFAULT_TIMEOUT_MS = 15_000;
const CHECKS_PER_TIMEOUT = 3;
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('connections', LINES_PER_SECOND);

interface Progress {
  sentBytes: number;
  sinceMs: number;
}

/**
 * Destroys connections whose peer has not taken any byte of the waiting responses for some time.
 * Without it they are kept until the peer closes.
 *
 * @param server - server whose connections are watched until it is closed
 * @param timeoutMs - time without progress
 *
 * @example
 * endStalledResponses(server);
 */
const endStalledResponses = (server: Server, timeoutMs: number = DEFAULT_TIMEOUT_MS): void => {
  const progressBySocket = new Map<Socket, Progress>();
  const isStalled = (socket: Socket, progress: Progress, nowMs: number): boolean => {
    const target = progress;
    const sentBytes = socket.bytesWritten - socket.writableLength;
    if (socket.writableLength === 0 || sentBytes !== progress.sentBytes) {
      target.sentBytes = sentBytes;
      target.sinceMs = nowMs;
    }
    return nowMs - progress.sinceMs >= timeoutMs;
  };
  const check = (nowMs: number): void =>
    progressBySocket.forEach((progress, socket) => {
      if (!isStalled(socket, progress, nowMs)) return;
      const { remoteAddress, writableLength: waitingBytes } = socket;
      const createFields = () => ({ remoteAddress, waitingBytes });
      logger.info(nowMs, createFields, 'connection ended because its peer reads no response');
      socket.destroy();
    });
  const timer = setInterval(() => check(performance.now()), timeoutMs / CHECKS_PER_TIMEOUT);
  timer.unref();
  server.once('close', () => clearInterval(timer));
  const event = server instanceof HttpsServer ? 'secureConnection' : 'connection';
  server.on(event, (socket: Socket) => {
    progressBySocket.set(socket, { sentBytes: 0, sinceMs: performance.now() });
    socket.once('close', () => progressBySocket.delete(socket));
  });
};

export default endStalledResponses;
