import { createServer } from 'node:http';

import tap from 'tap';

import type { AddressInfo } from 'node:net';
import { buildAnswerBody } from '../buildAnswerBody/index.js';
import { countOutcomes } from '../verifyOutcomes/index.js';
import { RecordingClient, RequestOutcome } from './index.js';

tap.test(
  'wrong, truncated and refused responses are recorded with distinct outcomes',
  async (t) => {
    const server = createServer((request, response) => {
      const id = String(request.headers['x-request-id']);
      const ownAnswer = buildAnswerBody(id, Buffer.alloc(0));
      if (request.url === '/own') response.end(ownAnswer);
      if (request.url === '/crossed') response.end(buildAnswerBody('other', Buffer.alloc(0)));
      if (request.url === '/short') {
        response.writeHead(200, { 'content-length': ownAnswer.length });
        response.write(ownAnswer.subarray(1), () => response.destroy());
      }
      if (request.url === '/refused') {
        response.writeHead(503, { 'foxtailvane-outcome': 'not-run' }).end();
      }
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const client = new RecordingClient();
    t.teardown(async () => {
      await client.close();
      server.close();
    });
    const paths = ['/own', '/crossed', '/short', '/refused'];
    await client.runOpenLoop({
      ratePerSecond: 400,
      durationMs: 100,
      entries: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`],
      describeRequest: (index) => ({
        method: 'GET',
        path: paths[index % paths.length]!,
        isIdempotent: true,
      }),
    });
    t.strictSame(countOutcomes(client.sent), {
      [RequestOutcome.Answered]: 10,
      [RequestOutcome.WrongBody]: 10,
      [RequestOutcome.NotRun]: 10,
      [RequestOutcome.ConnectionError]: 10,
    });
    t.equal(new Set(client.sent.map((one) => one.requestId)).size, 40);
  },
);
