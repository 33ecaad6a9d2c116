import { readdirSync, readFileSync, readlinkSync } from 'node:fs';

import type ManagedProcess from './ManagedProcess.js';

const LOCAL_ADDRESS_FIELD = 1;
const INODE_FIELD = 9;

const findInode = (port: number): string | undefined => {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  return readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .find((fields) => fields[LOCAL_ADDRESS_FIELD] === `0100007F${suffix}`)?.[INODE_FIELD];
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
 * @param port - local port of the client
 * @param candidates - processes of the cluster
 */
const findClient = (port: number, candidates: ManagedProcess[]): ManagedProcess | undefined => {
  const inode = findInode(port);
  return inode === undefined
    ? undefined
    : candidates.filter((one) => one.isRunning).find((one) => ownsSocket(one, inode));
};

export default findClient;
