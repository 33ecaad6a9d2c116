/** Detects connection resets, for responses that end with their connection. */
import { connect as openConnection, createServer } from 'node:net';

import { buildConnector } from 'undici';

import type { AddressInfo, Socket } from 'node:net';
import { createLogger } from '../../process/log/index.js';

const log = createLogger('upstream');

const LOOPBACK = '127.0.0.1';
/** Ample for a few packets on loopback; without a result, an end counts as orderly. */
const CHECK_TIMEOUT_MS = 5_000;

let isResetting = false;

/** Whether a connection keeps the address of its peer after an orderly end on this system. */
let orderlyEndKeepsAddress = false;

let orderlyEndCheck: Promise<boolean> | undefined;

const markReset = (): void => {
  isResetting = true;
  // All listeners of the event run before the next microtask.
  queueMicrotask(() => {
    isResetting = false;
  });
};

/**
 * libuv reports an end instead of a reset that arrives together with bytes. The system has closed such
 * a connection, so its peer has no address any more; after an orderly end it still has one. The address
 * must not be read earlier, since Node.js caches it.
 */
const markHiddenReset = (socket: Socket): void => {
  if (orderlyEndKeepsAddress && socket.remoteAddress === undefined) markReset();
};

const observeOrderlyEnd = (): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    const fail = (error: Error): void => {
      log.info({ reason: error.message }, 'check of orderly ends failed');
      server.close();
      resolve(false);
    };
    const timer = setTimeout(() => fail(new Error('timeout')), CHECK_TIMEOUT_MS);
    timer.unref();
    server.on('error', fail);
    server.listen(0, LOOPBACK, () => {
      const { port } = server.address() as AddressInfo;
      const client = openConnection(port, LOOPBACK).pause();
      server.on('connection', (peer) => {
        server.close();
        peer.on('error', fail);
        // The state of the client is read only after its peer is closed in both directions.
        peer.on('close', () => client.resume());
        peer.destroySoon();
      });
      client.on('error', fail);
      client.on('end', () => {
        clearTimeout(timer);
        resolve(client.remoteAddress !== undefined);
      });
    });
    server.unref();
  });

/**
 * Checks once per process, on a loopback connection, that an orderly end can be told from a reset. Until
 * it is known, each end counts as orderly.
 *
 * @returns whether a reset that the runtime reports as an end is detected
 */
export const checkOrderlyEnd = (): Promise<boolean> => {
  orderlyEndCheck ??= observeOrderlyEnd().then((isKept) => {
    orderlyEndKeepsAddress = isKept;
    if (!isKept) log.warn({}, 'a reset right after the last bytes of a response is not detected');
    return isKept;
  });
  return orderlyEndCheck;
};

/**
 * Returns whether the current code runs because of a connection reset. undici then also reports a
 * response without a length as complete.
 */
export const isHandlingReset = (): boolean => isResetting;

/**
 * Creates a connector for a pool whose connection resets are detected by `isHandlingReset`.
 *
 * @param options - `connect` option of a pool
 */
export const watchResets = (options: buildConnector.BuildOptions): buildConnector.connector => {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...outcome) => {
      const [, socket] = outcome;
      // The listeners must run before those of undici.
      socket?.prependListener('error', markReset);
      socket?.prependListener('end', () => markHiddenReset(socket));
      callback(...outcome);
    });
  };
};
