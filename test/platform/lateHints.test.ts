import tap from 'tap';

import PlatformDialect from '../../platform/PlatformDialect.js';
import { TestMesh, send } from '../requestMesh/index.js';
import sendRaw from '../requestMesh/sendRaw.js';
import startRawBackend from '../requestMesh/startRawBackend.js';

const FORMER_ID = 'former';
const LATER_ID = 'later';
const HINTS: [string, string, boolean][] = [
  ['the id of another request', `attempt-id: ${FORMER_ID}\r\n`, false],
  ['no id', '', false],
  ['the id of the request', `attempt-id: ${LATER_ID}\r\n`, true],
];

const createHints = (idLine: string): string =>
  `HTTP/1.1 103 Early Hints\r\nlink: </style.css>; rel=preload\r\n${idLine}\r\n`;

const createAnswer = (attemptId: string): string =>
  `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok`;

// Guards against early hints of a late second response that reach the caller of the next request.
HINTS.forEach(([name, idLine, isPassedOn]) =>
  tap.test(`early hints with ${name}`, async (t) => {
    const mesh = new TestMesh();
    t.teardown(() => mesh.stop());
    const dialect = new PlatformDialect();
    const entry = await mesh.startNode('entry', { dialect });
    const owner = await mesh.startNode('owner', { dialect });
    const stop = await startRawBackend(mesh, owner, (attemptId, socket) => {
      const hints = attemptId === FORMER_ID ? '' : createHints(idLine);
      socket.write(hints + createAnswer(attemptId));
    });
    t.teardown(stop);
    await send(owner.address, { headers: { 'attempt-id': FORMER_ID } });
    const head = `GET / HTTP/1.1\r\nhost: shop\r\nattempt-id: ${LATER_ID}\r\n`;
    const receive = (address: string): Promise<string> =>
      sendRaw(address, `${head}connection: close\r\n\r\n`);
    const overOneHop = await receive(owner.address);
    const overTwoHops = await receive(entry.address);
    [overOneHop, overTwoHops].forEach((received) => {
      t.equal(received.includes(' 103 '), isPassedOn, received);
      t.match(received, /HTTP\/1.1 200 OK[^]*\r\n\r\nok$/);
    });
  }),
);
