import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import type { Reply, StartMessage, StartedMessage, UsageMessage } from './messages.js';

/** Handle of a benchmark process. */
export interface Worker extends StartedMessage {
  readUsage: () => Promise<UsageMessage>;
  stop: () => void;
}

const DEFAULT_WORKER_PATH = fileURLToPath(new URL('../worker.js', import.meta.url));

/**
 * Starts a benchmark process and waits until it is ready.
 *
 * @param message - role of the process and its parameters
 * @param path - worker script; that of another build for a comparison
 */
export const startWorker = async (
  message: StartMessage,
  path: string = DEFAULT_WORKER_PATH,
): Promise<Worker> => {
  const child = fork(path);
  child.setMaxListeners(0);
  const sendMessage = (request: StartMessage | 'usage'): Promise<Reply> =>
    new Promise((resolve, reject) => {
      child.once('message', (reply) => resolve(reply as Reply));
      child.once('exit', (code) => reject(new Error(`worker exited with code ${code}`)));
      child.send(request);
    });
  const first = await sendMessage(message);
  return {
    ...('started' in first ? first.started : {}),
    readUsage: async () => {
      const reply = await sendMessage('usage');
      return 'usage' in reply ? reply.usage : { cpuUs: 0, directCount: 0, residentBytes: 0 };
    },
    stop: () => child.disconnect(),
  };
};
