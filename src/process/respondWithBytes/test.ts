import { Hono } from 'hono';
import tap from 'tap';
import { request } from 'undici';

import { unwrapResult } from '../../../stand-ins/unwrapResult/index.js';
import { serveHttp } from '../daemon/serveHttp/index.js';
import respondWithBytes from './index.js';

const SIZES_BYTES = [0, 1_000, 1_000_000];

// Guards against bytes that are lost, reordered or sent without their length.
tap.test('the bytes are sent whole, with their length and type', async (t) => {
  const contents = SIZES_BYTES.map((length) => Uint8Array.from({ length }, (_, at) => at % 251));
  const app = new Hono().get('/:number', (context) => {
    const bytes = contents[Number(context.req.param('number'))] ?? new Uint8Array();
    return respondWithBytes(context, bytes, { statusCode: 200, contentType: 'application/json' });
  });
  const listener = unwrapResult(await serveHttp(app, '127.0.0.1:0'));
  t.teardown(() => listener.close());
  await Promise.all(
    contents.map(async (bytes, number) => {
      const { statusCode, headers, body } = await request(`http://${listener.address}/${number}`);
      t.equal(statusCode, 200);
      t.equal(headers['content-length'], String(bytes.length));
      t.equal(headers['content-type'], 'application/json');
      t.ok(Buffer.from(await body.arrayBuffer()).equals(bytes));
    }),
  );
});
