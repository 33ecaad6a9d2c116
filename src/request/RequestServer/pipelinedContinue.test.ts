import { connect } from 'node:net';

import tap from 'tap';

import type { ServerResponse } from 'node:http';
import ResponseReader from '../../../stand-ins/keepingClient/ResponseReader.js';
import type { ReceivedResponse } from '../../../stand-ins/keepingClient/ResponseReader.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { TestMesh } from '../../../test/requestMesh/index.js';

const FIRST_ANSWER_DELAY_MS = 100;
const BODY = 'one bundle';

// Guards against `100 Continue` within the body of an answer that waits for the answer before it.
tap.test('a pipelined request that expects to be continued gets its whole answer', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('node');
  await mesh.startBackend(node, (request, response: ServerResponse) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const delayMs = request.url === '/first' ? FIRST_ANSWER_DELAY_MS : 0;
      setTimeout(() => response.end(Buffer.concat([Buffer.from('got '), ...chunks])), delayMs);
    });
  });
  const [host, port] = node.address.split(':');
  const socket = connect(Number(port), host);
  t.teardown(() => socket.destroy());
  const reader = new ResponseReader();
  const received: ReceivedResponse[] = [];
  socket.on('data', (chunk: Buffer) => received.push(...reader.add(chunk)));
  const expecting = `host: shop\r\nexpect: 100-continue\r\ncontent-length: ${BODY.length}\r\n\r\n`;
  // The body is sent without waiting for `100 Continue`, as callers may.
  socket.write('GET /first HTTP/1.1\r\nhost: shop\r\n\r\n');
  socket.write(`PUT /second HTTP/1.1\r\n${expecting}${BODY}`);
  socket.write('GET /third HTTP/1.1\r\nhost: shop\r\n\r\n');
  await waitFor('three answers', () => received.length === 3);
  t.strictSame(
    received.map(({ framedBody }) => framedBody),
    ['got ', `got ${BODY}`, 'got '],
  );
  t.match(received[1]?.informational[0], /^HTTP\/1\.1 100 Continue/);
  t.strictSame(
    received.map(({ isClosing }) => isClosing),
    [false, false, false],
  );
});
