import { connect } from 'node:net';

import tap from 'tap';

import type { Test } from 'tap';
import ResponseReader from '../../../stand-ins/keepingClient/ResponseReader.js';
import type { ReceivedResponse } from '../../../stand-ins/keepingClient/ResponseReader.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import PlatformDialect from '../../../platform/PlatformDialect.js';
import { TestMesh } from '../../../test/requestMesh/index.js';
import type { TestNode } from '../../../test/requestMesh/index.js';
import startRawBackend from '../../../test/requestMesh/startRawBackend.js';

const BODY_START = '\r\n\r\n';
const FIRST_ID = 'first';
const SECOND_ID = 'second';

const createHints = (attemptId: string): string =>
  `HTTP/1.1 103 Early Hints\r\nattempt-id: ${attemptId}\r\nlink: </${attemptId}.css>\r\n\r\n`;

const createAnswer = (attemptId: string, framing: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nserver-stamp: s\r\n${framing}`;

const FRAMINGS: Record<string, string> = {
  'with a length': 'content-length: 4\r\n\r\nbody',
  'in chunks': 'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
};

const startNodes = async (t: Test, framing: string) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const dialect = new PlatformDialect();
  const entry = await mesh.startNode('entry', { dialect });
  const owner = await mesh.startNode('owner', { dialect });
  let answerFirst: (() => void) | undefined;
  const stop = await startRawBackend(mesh, owner, (attemptId, socket) => {
    const answer = createHints(attemptId) + createAnswer(attemptId, framing);
    if (attemptId === SECOND_ID) {
      socket.write(answer);
      // Time for the second answer to reach the caller's node before the first one.
      setTimeout(() => answerFirst?.(), 50);
    } else answerFirst = () => socket.write(answer);
  });
  t.teardown(stop);
  return { entry, owner };
};

/** Sends two requests behind one another on a new connection. */
const sendBoth = async (t: Test, address: string): Promise<ReceivedResponse[]> => {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  t.teardown(() => socket.destroy());
  const reader = new ResponseReader();
  const received: ReceivedResponse[] = [];
  socket.on('data', (chunk: Buffer) => received.push(...reader.add(chunk)));
  [FIRST_ID, SECOND_ID].forEach((id) =>
    socket.write(`GET /${id} HTTP/1.1\r\nhost: shop\r\nattempt-id: ${id}\r\n\r\n`),
  );
  await waitFor('two answers', () => received.length === 2);
  return received;
};

// Guards against hints within the body of an answer that waits for the answer before it: the caller's
// answer is not whole, and what follows on the connection is out of step.
Object.entries(FRAMINGS).forEach(([name, framing]) =>
  tap.test(`early hints of a pipelined request that is answered ${name}`, async (t) => {
    const { entry, owner } = await startNodes(t, framing);
    const checkNode = async (node: TestNode): Promise<void> => {
      const [first, second] = await sendBoth(t, node.address);
      t.match(first?.informational[0], new RegExp(`</${FIRST_ID}.css>`), 'hints are passed on');
      t.equal(first?.framedBody, framing.slice(framing.indexOf(BODY_START) + BODY_START.length));
      t.equal(second?.framedBody, first?.framedBody);
      t.match(second?.head, /attempt-id: second/);
    };
    await checkNode(owner);
    await checkNode(entry);
  }),
);
