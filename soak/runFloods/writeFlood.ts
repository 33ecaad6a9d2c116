import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';
import { FloodEnd } from './drawFlood.js';
import type { Flood } from './drawFlood.js';

const waitUntilTaken = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      socket.off('drain', finish).off('close', finish);
      resolve();
    };
    socket.once('drain', finish).once('close', finish);
  });

/** Lets the other connections of this process have their turn. */
const yieldTurn = (paceMs: number): Promise<unknown> =>
  paceMs > 0
    ? sleep(paceMs)
    : new Promise((resolve) => {
        setImmediate(resolve);
      });

/**
 * Writes a flood until it ends or its connection is closed.
 *
 * @param socket - connection
 * @param flood - what to write
 * @returns the number of bytes written
 */
const writeFlood = async (socket: Socket, flood: Flood): Promise<number> => {
  const { start, part, segmentBytes, paceMs, end, endAfterBytes } = flood;
  const limitBytes = end === FloodEnd.Never ? Infinity : endAfterBytes;
  socket.setNoDelay(true).on('error', () => undefined);
  if (start !== '') socket.write(start);
  let writtenBytes = 0;
  while (socket.writable && writtenBytes < limitBytes) {
    const offset = writtenBytes % part.length;
    const segment = part.subarray(offset, offset + segmentBytes);
    writtenBytes += segment.length;
    if (!socket.write(segment)) await waitUntilTaken(socket);
    await yieldTurn(paceMs);
  }
  if (end === FloodEnd.InOrder) socket.end();
  if (end === FloodEnd.Reset) socket.resetAndDestroy();
  return writtenBytes;
};

export default writeFlood;
