/** Answers with parts that a caller does not need, over one hop and over two. */
import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { TestMesh } from '../../../test/requestMesh/index.js';
import sendRaw from '../../../test/requestMesh/sendRaw.js';
import startRawBackend from '../../../test/requestMesh/startRawBackend.js';

const FINAL = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
const REQUEST = 'GET / HTTP/1.1\r\nhost: desk\r\nattempt-id: a\r\nconnection: close\r\n\r\n';

/** Starts an owner with a backend that answers so, and an entry node before it. */
const startHops = async (t: Test, write: (socket: Socket) => void) => {
  const mesh = new TestMesh();
  t.teardown(() => mesh.stop());
  const entry = await mesh.startNode('entry');
  const owner = await mesh.startNode('owner');
  t.teardown(await startRawBackend(mesh, owner, (_, socket) => write(socket)));
  return { one: owner.address, two: entry.address };
};

/** Returns what a caller receives over one hop and over two. */
const receive = async (t: Test, answer: string, request = REQUEST): Promise<string[]> => {
  const { one, two } = await startHops(t, (socket) => socket.write(answer, 'latin1'));
  return [await sendRaw(one, request), await sendRaw(two, request)];
};

const listHints = (received: string): string[] =>
  [...received.matchAll(/^link: (.*)\r$/gim)].map(([, value]) => value ?? '');

const createHint = (...links: string[]): string =>
  `HTTP/1.1 103 Early Hints\r\n${links.map((link) => `Link: ${link}\r\n`).join('')}\r\n`;

const LEGAL_LINKS: Record<string, string[]> = {
  'one link': ['</a.css>; rel=preload'],
  'a space in quotes': ['</a.css>; rel="preload prefetch"'],
  'a semicolon and a comma in quotes': ['</a.css>; title="a; b, <c>"'],
  'two links in one field': ['</a.css>; rel=preload; as=style, </b.js>; rel=preload'],
  'two fields': ['</a.css>; rel=preload', '<https://cdn.example/b?c=d,e>;rel=preload'],
  'a parameter without a value, and an empty one': ['</a.css> ; crossorigin ;; rel = preload'],
};

const ILLEGAL_LINKS: Record<string, string> = {
  'no brackets': '/a.css; rel=preload',
  'an open bracket': '</a.css; rel=preload',
  'an open quote': '</a.css>; title="a',
  'a space in the target': '</a b.css>; rel=preload',
  'no semicolon': '</a.css> rel=preload',
};

// Guards against a good answer that is lost because of early hints that Node.js would refuse to write.
Object.entries(LEGAL_LINKS).forEach(([name, links]) =>
  tap.test(`early hints with ${name} are passed on before the answer`, async (t) => {
    const received = await receive(t, createHint(...links) + FINAL);
    received.forEach((text) => {
      t.match(
        text,
        /^HTTP\/1\.1 103 Early Hints\r\n[^]*\r\n\r\nHTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nok$/,
      );
      t.equal(listHints(text).join(', '), links.join(', '));
    });
  }),
);

Object.entries(ILLEGAL_LINKS).forEach(([name, link]) =>
  tap.test(
    `a link with ${name} is dropped; a legal one and the answer are passed on`,
    async (t) => {
      const received = await receive(t, createHint(link, '</b.js>') + createHint(link) + FINAL);
      received.forEach((text) => {
        t.match(text, /HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nok$/);
        t.strictSame(listHints(text), ['</b.js>']);
      });
    },
  ),
);

const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const ANSWERS_AFTER_CONTINUE: Record<string, string> = {
  one: CONTINUE + FINAL,
  'several between other informational heads':
    CONTINUE + createHint('</a.css>') + CONTINUE + CONTINUE + FINAL,
  'one with fields': `HTTP/1.1 100 Continue\r\nDate: now\r\n\r\n${FINAL}`,
};

// Guards against a good answer that is lost because of a 100 response that was not asked for.
Object.entries(ANSWERS_AFTER_CONTINUE).forEach(([name, answer]) =>
  tap.test(`100 responses that were not asked for are dropped: ${name}`, async (t) => {
    const received = await receive(t, answer);
    received.forEach((text) => {
      t.notMatch(text, ' 100 ');
      t.match(text, /HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nok$/);
      t.equal(text.includes(' 103 '), answer.includes(' 103 '));
    });
  }),
);

const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n';
const INVALID_TRAILERS: Record<string, string> = {
  'a control character': 'x-sum: a\u0001b\r\n\r\n',
  'a space in the name': 'x sum: a\r\n\r\n',
  'no name': ': a\r\n\r\n',
  'a folded line': 'x-sum: a\r\n b\r\n\r\n',
  'a line feed alone': 'x-sum: a\n\r\n',
  'a length': 'content-length: 7\r\n\r\n',
  'more than the limit': `x-sum: ${'a'.repeat(33_000)}\r\n\r\n`,
};

// Guards against a whole answer that is broken off because of its trailers (RFC 9110, section 6.5.1).
Object.entries(INVALID_TRAILERS).forEach(([name, trailers]) =>
  tap.test(`trailers with ${name} are dropped from an answer, which is whole`, async (t) => {
    const received = await receive(t, CHUNKED + trailers);
    received.forEach((text) =>
      t.match(text, /HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\n2\r\nok\r\n0\r\n\r\n$/),
    );
  }),
);

const BROKEN_OFF: Record<string, string> = {
  'a chunk without its end': `${CHUNKED.slice(0, -5)}XX0\r\n\r\n`,
  'an invalid chunk extension': `${CHUNKED.slice(0, -3)}0;\u0001\r\n\r\n`,
  'an invalid chunk length': `${CHUNKED.slice(0, -3)}x-sum: a\r\n\r\n`,
};

// Guards against a part of an answer that is taken for the whole because of an error behind it.
Object.entries(BROKEN_OFF).forEach(([name, answer]) =>
  tap.test(`an answer with ${name} is visibly not whole`, async (t) => {
    const received = await receive(t, answer);
    received.forEach((text) => t.notMatch(text, /\r\n0\r\n\r\n$/));
  }),
);

const ANNOUNCED = 'HTTP/1.1 200 OK\r\ntrailer: x-sum\r\n';
const ANNOUNCED_TRAILERS: Record<string, [answer: string, request: string, body: string]> = {
  'with a length': [`${ANNOUNCED}content-length: 2\r\n\r\nok`, REQUEST, 'ok'],
  'of HEAD': [`${ANNOUNCED}content-length: 2\r\n\r\n`, REQUEST.replace('GET', 'HEAD'), ''],
  'without a body': [`${ANNOUNCED.replace('200 OK', '204 No Content')}\r\n`, REQUEST, ''],
  'in chunks to a caller with HTTP/1.0': [
    `${ANNOUNCED}transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-sum: a\r\n\r\n`,
    REQUEST.replace('HTTP/1.1', 'HTTP/1.0'),
    'ok',
  ],
};

// Guards against a good answer that is lost because Node.js sends the field Trailer only with chunks.
Object.entries(ANNOUNCED_TRAILERS).forEach(([name, [answer, request, body]]) =>
  tap.test(`an answer ${name} that announces trailers is passed on`, async (t) => {
    const received = await receive(t, answer, request);
    received.forEach((text) => {
      t.match(text, /^HTTP\/1\.1 20[04] /);
      t.equal(text.slice(text.indexOf('\r\n\r\n') + 4), body);
    });
  }),
);

// Guards against an answer without a length that is lost because it announces trailers.
tap.test('an answer without a length that announces trailers is passed on', async (t) => {
  const { one, two } = await startHops(t, (socket) => socket.end(`${ANNOUNCED}\r\nok`));
  const received = [await sendRaw(one, REQUEST), await sendRaw(two, REQUEST)];
  received.forEach((text) => t.match(text, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nok$/));
});

const FRAMING_TRAILERS = ['connection: close', 'transfer-encoding: gzip', 'upgrade: x'];

// Guards against an answer that is lost because of the trailers of the one before it on its connection.
FRAMING_TRAILERS.forEach((trailer) =>
  tap.test(`the answer after one with the trailer ${trailer} is passed on`, async (t) => {
    const { one, two } = await startHops(t, (socket) =>
      socket.write(`${CHUNKED}${trailer}\r\n\r\n`),
    );
    const received = [
      await sendRaw(one, REQUEST),
      await sendRaw(one, REQUEST),
      await sendRaw(two, REQUEST),
      await sendRaw(two, REQUEST),
    ];
    received.forEach((text) =>
      t.match(text, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\n2\r\nok\r\n0\r\n\r\n$/),
    );
  }),
);
