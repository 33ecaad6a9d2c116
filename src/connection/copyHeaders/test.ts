import tap from 'tap';

import { copyHeaders } from './index.js';

tap.test('hop-by-hop headers and those named by Connection are not forwarded', async (t) => {
  const raw = ['Host', 'desk', 'Connection', 'close, X-Hop', 'X-Hop', '1', 'TE', 'trailers'];
  t.strictSame(copyHeaders(raw, { isRequest: true }).headers, ['Host', 'desk']);
});

tap.test('a Connection header cannot remove headers that the message needs', async (t) => {
  const raw = ['Connection', 'content-length, host, idempotency-key', 'Content-Length', '5'];
  const more = [...raw, 'Host', 'desk', 'Idempotency-Key', 'k1'];
  t.equal(copyHeaders(more, { isRequest: true }).headers.length, 6);
});

tap.test('internal headers are separated and not forwarded', async (t) => {
  const raw = ['FoxtailVane-Attempt', '1', 'Accept', '*/*'];
  const copied = copyHeaders(raw, { isRequest: true });
  t.strictSame(copied.headers, ['Accept', '*/*']);
  t.equal(copied.internal?.get('foxtailvane-attempt'), '1');
});

tap.test('repeated headers are kept in order', async (t) => {
  const raw = ['Set-Cookie', 'a=1', 'Set-Cookie', 'b=2'];
  t.strictSame(copyHeaders(raw, { isRequest: false }).headers, raw);
});
