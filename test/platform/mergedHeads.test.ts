import tap from 'tap';

import PlatformDialect from '../../platform/PlatformDialect.js';
import { TestMesh, send } from '../requestMesh/index.js';
import startRawBackend from '../requestMesh/startRawBackend.js';

const FORMER_ID = 'former';

const createAnswer = (attemptId: string, statusLine: string, idLine: string): string => {
  const body = `answer to ${attemptId}`;
  const head = `HTTP/1.1 ${statusLine}\r\n${idLine}server-stamp: s.${attemptId}\r\n`;
  return `${head}content-length: ${body.length}\r\n\r\n${body}`;
};

const SECOND_ANSWERS: Record<string, string> = {
  'a success': createAnswer(FORMER_ID, '200 OK', `attempt-id: ${FORMER_ID}\r\n`),
  'a failure': createAnswer(FORMER_ID, '500 Failed', `attempt-id: ${FORMER_ID}\r\n`),
  'a failure without an id': createAnswer(FORMER_ID, '500 Failed', ''),
};

// Guards against a late answer in the middle of the next answer's head: the caller got its body.
Object.entries(SECOND_ANSWERS).forEach(([name, second]) =>
  tap.test(`${name} within the head of the next answer`, async (t) => {
    const mesh = new TestMesh();
    t.teardown(() => mesh.stop());
    const dialect = new PlatformDialect();
    const node = await mesh.startNode('owner', { dialect });
    const stop = await startRawBackend(mesh, node, (attemptId, socket) => {
      const answer = createAnswer(attemptId, '200 OK', `attempt-id: ${attemptId}\r\n`);
      const cut = answer.indexOf('s.') + 2;
      socket.write(attemptId === FORMER_ID ? answer : answer.slice(0, cut) + second);
    });
    t.teardown(stop);
    const first = await send(node.address, { headers: { 'attempt-id': FORMER_ID } });
    t.equal(first.body, `answer to ${FORMER_ID}`);
    const later = await send(node.address, { headers: { 'attempt-id': 'later' } });
    t.equal(later.status, 502, later.body);
  }),
);
