import { connect } from 'node:net';

import { Hono } from 'hono';
import tap from 'tap';

import { unwrapResult } from '../../../../stand-ins/unwrapResult/index.js';
import waitFor from '../../../../stand-ins/waitFor/index.js';
import { splitAddress } from '../../../connection/splitAddress/index.js';
import { serveHttp } from './index.js';

const BODY_BYTES = 200_000;
const CHUNK = `${BODY_BYTES.toString(16)}\r\n${'x'.repeat(BODY_BYTES)}\r\n0\r\n\r\n`;

// Guards against a kept connection that is read no more behind a body that nobody reads.
['GET', 'POST'].forEach((method) => {
  tap.test(`a call behind a body in chunks that is not read is answered: ${method}`, async (t) => {
    const app = new Hono();
    app.all('/', (context) => context.text('first'));
    app.get('/next', (context) => context.text('next'));
    const listener = unwrapResult(await serveHttp(app, '127.0.191.1:0'));
    const socket = connect(splitAddress(listener.address));
    t.teardown(async () => {
      socket.destroy();
      await listener.close();
    });
    let text = '';
    socket.on('data', (part: Buffer) => {
      text += part.toString();
    });
    socket.write(`${method} / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${CHUNK}`);
    await waitFor('the first answer', () => text.includes('first'));
    socket.write('GET /next HTTP/1.1\r\nHost: a\r\n\r\n');
    await waitFor('the next answer', () => text.includes('next'));
  });
});
