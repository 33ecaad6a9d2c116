import { readdirSync, readlinkSync } from 'node:fs';
import { readFile } from 'node:fs/promises';

import type ManagedProcess from './ManagedProcess.js';

// Counted from the local address, as in proc(5).
const INODE_FIELD = 8;
const LOOPBACK = '0100007F';

const formatAddress = (port: number): string =>
  `${LOOPBACK}:${port.toString(16).toUpperCase().padStart(4, '0')}`;

/**
 * Both ends have to match: connections to other targets may use the same local port. The table has
 * tens of thousands of lines after a load test, so it is neither split nor read synchronously.
 */
const findInode = async (clientPort: number, proxyPort: number): Promise<string | undefined> => {
  const table = await readFile('/proc/net/tcp', 'latin1');
  const start = table.indexOf(`${formatAddress(clientPort)} ${formatAddress(proxyPort)}`);
  if (start < 0) return undefined;
  const line = table.slice(start, table.indexOf('\n', start));
  return line.split(/\s+/)[INODE_FIELD];
};

const ownsSocket = (candidate: ManagedProcess, inode: string): boolean => {
  try {
    const folder = `/proc/${candidate.pid}/fd`;
    return readdirSync(folder).some(
      (name) => readlinkSync(`${folder}/${name}`) === `socket:[${inode}]`,
    );
  } catch {
    // The process ended, or closed the file between the two calls.
    return false;
  }
};

/**
 * Finds which process opened a connection from 127.0.0.1, so that a proxy can treat the clients of
 * one target differently.
 *
 * @param clientPort - local port of the client
 * @param proxyPort - port that it connected to
 * @param candidates - processes of the cluster
 */
const findClient = async (
  clientPort: number,
  proxyPort: number,
  candidates: ManagedProcess[],
): Promise<ManagedProcess | undefined> => {
  const inode = await findInode(clientPort, proxyPort);
  return inode === undefined
    ? undefined
    : candidates.filter((one) => one.isRunning).find((one) => ownsSocket(one, inode));
};

export default findClient;
