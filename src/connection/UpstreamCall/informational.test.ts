import { createServer, request as sendRequest } from 'node:http';
import { Socket } from 'node:net';

import tap from 'tap';

import type { RequestListener, ServerResponse } from 'node:http';
import type { Test } from 'tap';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { UpstreamPools } from '../UpstreamPools/index.js';
import { UpstreamCall } from './index.js';

const HINTS = 40;
/** More than the system buffers for a connection. */
const UNREAD = Buffer.alloc(32 * 1_048_576);

/** Starts a server that passes each request on to an upstream, and counts its acknowledgements. */
const startRelay = async (t: Test, listener: RequestListener) => {
  const upstream = createServer(listener);
  const upstreamAddress = await listenOnLoopback(upstream);
  const pools = new UpstreamPools();
  const counts = { acknowledgements: 0, hints: 0 };
  const responses: ServerResponse[] = [];
  const relay = createServer((_, response) => {
    responses.push(response);
    const { socket } = response;
    const write = socket?.write.bind(socket);
    // Hints are written to the connection itself.
    Object.assign(socket ?? {}, {
      write: (...written: Parameters<Socket['write']>) => {
        if (String(written[0]).startsWith('HTTP/1.1 103 ')) counts.hints += 1;
        return write?.(...written);
      },
    });
    const onAcknowledged = (): void => {
      counts.acknowledgements += 1;
    };
    const call = new UpstreamCall(response, { isNode: true, onAcknowledged });
    call
      .send(pools.get(upstreamAddress, 1), { method: 'GET', path: '/', headers: [], body: null })
      .catch(() => response.destroy());
  });
  t.teardown(async () => {
    await pools.destroy();
    [upstream, relay].forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });
  return { address: await listenOnLoopback(relay), counts, responses };
};

/** Sends a request; returns how many informational responses arrived, and the status. */
const countHints = (address: string): Promise<{ hints: number; status: number }> =>
  new Promise((resolve, reject) => {
    let hints = 0;
    const request = sendRequest(`http://${address}`, { agent: false }, (response) => {
      response.resume();
      response.on('end', () => resolve({ hints, status: response.statusCode ?? 0 }));
    });
    request.on('information', () => {
      hints += 1;
    });
    request.on('error', reject);
    request.end();
  });

// Guards against a server that sends its caller hints without end, and against the loss of ordinary ones.
tap.test('a caller gets a few early hints, then the response', async (t) => {
  const writeHint = (response: ServerResponse, left: number): void => {
    if (left === 0) response.end('done');
    else response.writeEarlyHints({ link: '</a.css>' }, () => writeHint(response, left - 1));
  };
  const few = await startRelay(t, (_, response) => writeHint(response, 2));
  t.same(await countHints(few.address), { hints: 2, status: 200 });
  t.equal(few.counts.hints, 2);
  const many = await startRelay(t, (_, response) => writeHint(response, HINTS));
  const { hints, status } = await countHints(many.address);
  t.equal(status, 200);
  t.ok(hints > 0 && hints < HINTS / 2, `${hints} hints`);
});

// Guards against hints that pile up in a node while its caller reads nothing.
tap.test('no early hint is kept for a caller that has unsent bytes', async (t) => {
  const caller = new Socket();
  const { address, counts, responses } = await startRelay(t, (_, response) => {
    responses[0]?.socket?.write(UNREAD);
    const unsentBytes = responses[0]?.writableLength ?? 0;
    t.ok(unsentBytes > 0, `${unsentBytes} bytes`);
    Array.from({ length: HINTS }, () => response.writeEarlyHints({ link: '</a.css>' }));
    response.end('done', () => setTimeout(() => caller.destroy(), 200));
  });
  const [host = '', port] = address.split(':');
  caller.connect(Number(port), host);
  caller.pause();
  caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  await new Promise((resolve) => {
    caller.once('close', resolve);
  });
  t.equal(counts.hints, 0);
});

// Guards against work for each of the acknowledgements that a faulty node or server repeats.
tap.test('a call is acknowledged once', async (t) => {
  const { address, counts } = await startRelay(t, (_, response) => {
    Array.from({ length: HINTS }, () => response.writeProcessing());
    response.end('done');
  });
  t.same(await countHints(address), { hints: 0, status: 200 });
  t.equal(counts.acknowledgements, 1);
});
