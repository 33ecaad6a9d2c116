import { connect } from 'node:net';

import { splitAddress } from '../splitAddress/index.js';

/**
 * Tries to open a connection, and closes it immediately.
 *
 * @param address - `host:port`
 * @param timeoutMs - time after which the address counts as unreachable
 * @returns whether a connection was accepted; never rejects
 */
const canConnect = (address: string, timeoutMs: number): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: timeoutMs });
    const finish = (isAccepted: boolean) => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.once('connect', () => finish(true));
    // Why it is unreachable makes no difference to the caller.
    socket.once('error', () => finish(false));
    socket.once('timeout', () => finish(false));
  });

export default canConnect;
