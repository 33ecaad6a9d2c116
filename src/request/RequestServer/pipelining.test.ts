import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import { splitAddress } from '../../connection/splitAddress/index.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { TestMesh } from '../../../test/requestMesh/index.js';

/** Time within which the requests of a disconnected caller must end. */
const CANCEL_TIMEOUT_MS = 500;

// Guards against pipelined requests that keep running, and stay in flight forever, after their caller
// disconnected: Node.js reports the close only to the response at the head of the pipeline.
tap.test('all pipelined requests end when their connection closes', async (t) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const node = await mesh.startNode('node');
  const started: string[] = [];
  const ended: string[] = [];
  await mesh.startBackend(node, (request, response) => {
    const path = request.url ?? '';
    started.push(path);
    response.on('close', () => ended.push(path));
  });
  const socket = connect(splitAddress(node.address));
  socket.on('error', () => undefined);
  socket.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n');
  await waitFor('both requests run', () => started.length === 2);
  t.equal(node.requestServer.inFlight, 2);
  socket.destroy();
  await delay(CANCEL_TIMEOUT_MS);
  t.strictSame(ended.toSorted(), ['/1', '/2']);
  t.equal(node.requestServer.inFlight, 0);
});
