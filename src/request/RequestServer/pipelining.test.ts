import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import { ServiceSchema } from '../../_generated/foxtailvane/v1/configuration_pb.js';
import { splitAddress } from '../../connection/splitAddress/index.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { TestMesh, compileForTest, createRoute } from '../../../test/requestMesh/index.js';

/** As many requests of a connection as may be handled at the same time. */
const MAX_RUNNING = 16;
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

// Guards against requests that are answered as not run although they run late, behind those sent before
// them, and against a deadline that starts anew when held bytes are parsed.
tap.test('pipelined requests that wait beyond their deadline do not run', async (t) => {
  const COUNT = 60;
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  mesh.configuration = compileForTest(
    [createRoute({ timeoutMs: 400 })],
    [create(ServiceSchema, { name: 'desk', timeoutMs: 400 })],
  );
  const node = await mesh.startNode('node');
  const started: string[] = [];
  await mesh.startBackend(node, (request, response) => {
    started.push(request.url ?? '');
    setTimeout(() => response.end(), 1_000);
  });
  const socket = connect(splitAddress(node.address));
  t.teardown(() => socket.destroy());
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const paths = Array.from({ length: COUNT }, (_, index) => `/${index}`);
  socket.write(paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''));
  const listStatuses = (): string[] =>
    [...text.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status = '']) => status);
  await waitFor('all responses', () => listStatuses().length === COUNT);
  await delay(CANCEL_TIMEOUT_MS);
  const statuses = listStatuses();
  const refused = paths.filter((_, index) => statuses[index] === '503');
  t.strictSame(
    paths.filter((path) => started.includes(path) === refused.includes(path)),
    [],
    'just the refused ones did not run',
  );
  t.equal(started.length, MAX_RUNNING);
});
