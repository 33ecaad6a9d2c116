/** Thread of `startDepartingCallers`. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import { splitAddress } from '../../src/connection/splitAddress/index.js';

import type { Departure, DepartingCallersOptions } from './index.js';

const { address, count, sendAfterMs, leaveAfterMs } = workerData as DepartingCallersOptions;

const callAndLeave = async (index: number): Promise<Departure> => {
  const path = `/departed/${index}`;
  const socket = connect(splitAddress(address));
  socket.on('error', () => undefined);
  socket.write(`GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  await delay(leaveAfterMs);
  socket.destroy();
  return { path, atMs: Date.now() };
};

await delay(sendAfterMs);
const departures = await Promise.all(
  Array.from({ length: count }, (_, index) => callAndLeave(index)),
);
parentPort?.postMessage(departures);
