import { connect, constants, createServer } from 'node:http2';

import tap from 'tap';

import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2';
import type { AddressInfo } from 'node:net';
import type { Test } from 'tap';
import waitFor from '../../../../stand-ins/waitFor/index.js';
import ReceivedMessages from './ReceivedMessages.js';

const MAX_BYTES = 100_000;

/** Starts a server that reads requests up to their end, and connects to it. */
const setUp = async (t: Test) => {
  const received = new ReceivedMessages(MAX_BYTES);
  const sizesBytes: number[] = [];
  const server = createServer((request, response) => {
    received.add(request, response);
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
    });
    request.on('end', () => {
      if (!request.aborted) sizesBytes.push(sizeBytes);
      response.end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const session = connect(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.teardown(() => {
    session.destroy();
    server.close();
  });
  return { session, sizesBytes };
};

const open = (session: ClientHttp2Session, type = 'application/proto'): ClientHttp2Stream => {
  const stream = session.request({ ':method': 'POST', ':path': '/', 'content-type': type });
  return stream.on('error', () => undefined);
};

// Guards against messages that are each within their limit and together exceed the memory of a process.
tap.test('of too many unfinished messages the largest is reset', async (t) => {
  const { session, sizesBytes } = await setUp(t);
  const large = open(session);
  const small = open(session);
  large.write(Buffer.alloc(60_000));
  small.write(Buffer.alloc(40_000));
  small.write(Buffer.alloc(10_000));
  await waitFor('reset of the largest', () => large.destroyed);
  t.equal(large.rstCode, constants.NGHTTP2_ENHANCE_YOUR_CALM);
  small.end();
  await waitFor('the smaller message', () => sizesBytes.length === 1);
  t.strictSame(sizesBytes, [50_000]);
});

// Guards against answered messages, or those of a long stream, that count towards the limit for ever.
tap.test('answered messages and streams are not limited by their sum', async (t) => {
  const { session, sizesBytes } = await setUp(t);
  const stream = open(session, 'application/connect+proto');
  stream.write(Buffer.alloc(2 * MAX_BYTES));
  await Array.from({ length: 5 }).reduce(async (earlier: Promise<void>, _, index) => {
    await earlier;
    open(session).resume().end(Buffer.alloc(60_000));
    await waitFor('the message', () => sizesBytes.length === index + 1);
  }, Promise.resolve());
  stream.end();
  await waitFor('the stream', () => sizesBytes.length === 6);
  t.equal(sizesBytes.at(-1), 2 * MAX_BYTES);
});
