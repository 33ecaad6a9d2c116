import { createServer } from 'node:net';

import tap from 'tap';
import { Client } from 'undici';

import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { checkOrderlyEnd, isHandlingReset, watchResets } from './index.js';

const TRIES = 200;
const PARTS = ['HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(500)];

enum Outcome {
  Complete = 'COMPLETE',
  Reset = 'RESET',
  Failed = 'FAILED',
}

/** Requests a response without a length and returns how it ended. */
const fetchOutcome = (address: string): Promise<Outcome> =>
  new Promise((resolve) => {
    const client = new Client(`http://${address}`, { connect: watchResets({}) });
    const finish = (outcome: Outcome): void => {
      resolve(outcome);
      client.destroy().catch(() => undefined);
    };
    const handler: Dispatcher.DispatchHandler = {
      onConnect: () => undefined,
      onHeaders: () => true,
      onData: () => true,
      onComplete: () => finish(isHandlingReset() ? Outcome.Reset : Outcome.Complete),
      onError: () => finish(Outcome.Failed),
    };
    client.dispatch({ path: '/', method: 'GET' }, handler);
  });

/** Counts how responses end whose connection is closed a while after their last bytes. */
const countOutcomes = async (
  close: (socket: Socket) => void,
  delayMs: number,
): Promise<Partial<Record<Outcome, number>>> => {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(PARTS.join(''));
      if (delayMs === 0) close(socket);
      else setTimeout(close, delayMs, socket);
    });
  });
  const address = await listenOnLoopback(server);
  const counts: Partial<Record<Outcome, number>> = {};
  await Array.from({ length: TRIES }).reduce<Promise<void>>(async (earlier) => {
    await earlier;
    const outcome = await fetchOutcome(address);
    counts[outcome] = (counts[outcome] ?? 0) + 1;
  }, Promise.resolve());
  server.close();
  return counts;
};

// Guards against a part of a response that is taken for the whole, because the runtime reports a reset
// that arrives together with the last bytes as an end.
tap.test('a reset and an orderly end are told apart at any distance from the bytes', async (t) => {
  t.equal(await checkOrderlyEnd(), true, 'an orderly end keeps the address of the peer');
  await [0, 1, 3].reduce(async (earlier, delayMs) => {
    await earlier;
    const reset = await countOutcomes((socket) => socket.resetAndDestroy(), delayMs);
    t.notOk(reset[Outcome.Complete], `reset after ${delayMs} ms: ${JSON.stringify(reset)}`);
    const ended = await countOutcomes((socket) => socket.end(), delayMs);
    t.strictSame(ended, { [Outcome.Complete]: TRIES }, `end after ${delayMs} ms`);
    const closed = await countOutcomes((socket) => socket.destroySoon(), delayMs);
    t.strictSame(closed, { [Outcome.Complete]: TRIES }, `close after ${delayMs} ms`);
  }, Promise.resolve());
});
