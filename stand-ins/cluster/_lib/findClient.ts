import { readdirSync, readlinkSync } from 'node:fs';
import { readFile } from 'node:fs/promises';

import type ManagedProcess from './ManagedProcess.js';
import shareReads from './shareReads.js';

// Position in a line of /proc/net/tcp, counted from the local address; see proc(5).
const INODE_FIELD = 8;
const LOOPBACK = '0100007F';

const formatAddress = (port: number): string =>
  `${LOOPBACK}:${port.toString(16).toUpperCase().padStart(4, '0')}`;

const readTable = shareReads(() => readFile('/proc/net/tcp', 'latin1'));

/**
 * Returns the inode of the client's socket. Both ports must match, since connections to other
 * targets may use the same local port. The table has tens of thousands of lines after a load test,
 * so it is read asynchronously and not split into lines.
 */
const findInode = async (clientPort: number, proxyPort: number): Promise<string | undefined> => {
  const table = await readTable();
  const start = table.indexOf(`${formatAddress(clientPort)} ${formatAddress(proxyPort)}`);
  if (start < 0) return undefined;
  const line = table.slice(start, table.indexOf('\n', start));
  return line.split(/\s+/)[INODE_FIELD];
};

/** Returns what a descriptor refers to; undefined if it has been closed since it was listed. */
const readDescriptor = (path: string): string | undefined => {
  try {
    return readlinkSync(path);
  } catch {
    return undefined;
  }
};

const listDescriptors = (folder: string): string[] => {
  try {
    return readdirSync(folder);
  } catch {
    // The process has exited.
    return [];
  }
};

const ownsSocket = (candidate: ManagedProcess, inode: string): boolean => {
  const folder = `/proc/${candidate.pid}/fd`;
  return listDescriptors(folder).some(
    (name) => readDescriptor(`${folder}/${name}`) === `socket:[${inode}]`,
  );
};

/**
 * Finds the process that opened a connection from 127.0.0.1, so that a proxy can apply a fault to
 * one client only.
 *
 * @param clientPort - local port of the client
 * @param proxyPort - port that it connected to
 * @param candidates - processes to search
 * @returns the process, or undefined when no running candidate owns the connection
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
