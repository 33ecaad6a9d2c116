import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

import type ManagedProcess from './ManagedProcess.js';

const LOCAL_ADDRESS_FIELD = 1;
const REMOTE_ADDRESS_FIELD = 2;
const INODE_FIELD = 9;
const LOOPBACK = '0100007F';

const formatAddress = (port: number): string =>
  `${LOOPBACK}:${port.toString(16).toUpperCase().padStart(4, '0')}`;

/** Both ends have to match: connections to other targets may use the same local port. */
const findInode = (clientPort: number, proxyPort: number): string | undefined => {
  const [local, remote] = [formatAddress(clientPort), formatAddress(proxyPort)];
  return readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .find(
      (fields) => fields[LOCAL_ADDRESS_FIELD] === local && fields[REMOTE_ADDRESS_FIELD] === remote,
    )?.[INODE_FIELD];
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
const findClient = (
  clientPort: number,
  proxyPort: number,
  candidates: ManagedProcess[],
): ManagedProcess | undefined => {
  const inode = findInode(clientPort, proxyPort);
  return inode === undefined
    ? undefined
    : candidates.filter((one) => one.isRunning).find((one) => ownsSocket(one, inode));
};

export default findClient;
