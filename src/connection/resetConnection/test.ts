import { createServer } from 'node:https';
import { connect } from 'node:tls';

import tap from 'tap';

import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Test } from 'tap';
import { TestAuthority } from '../../../stand-ins/certificates/index.js';
import { abortResponse, delimitByClose, resetUnfinished } from '../delimitByClose/index.js';
import { keepTransports, resetConnection } from './index.js';

/**
 * Starts a TLS server that sends a part of a response without a length, and ends it once its caller has
 * received the part; returns how it ends for the caller.
 */
const readEnd = async (
  t: Test,
  end: (response: ServerResponse, socket: Socket) => void,
): Promise<string> => {
  let started: ServerResponse | undefined;
  const server: Server = createServer(
    new TestAuthority().issue({ name: 'node' }),
    (_, response) => {
      started = response;
      delimitByClose(response);
      response.writeHead(200);
      response.write('part');
    },
  );
  keepTransports(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  const caller = connect({ port, host: '127.0.0.1', rejectUnauthorized: false });
  caller.write('GET / HTTP/1.1\r\nhost: any\r\n\r\n');
  return new Promise((resolve) => {
    caller.once('data', () => {
      if (started?.socket) end(started, started.socket);
    });
    caller.once('end', () => resolve('END'));
    caller.once('error', ({ code }: NodeJS.ErrnoException) => resolve(code ?? ''));
  });
};

// Guards against a part of a response that looks whole, and against the exception of Node.js for a reset
// through a TLS socket: between nodes with TLS, it ended the process.
tap.test('an unfinished response on a connection with TLS is reset', async (t) => {
  const endings: Parameters<typeof readEnd>[1][] = [
    (_, socket) => resetConnection(socket),
    (response) => abortResponse(response),
    (_, socket) => resetUnfinished((other) => other === socket),
  ];
  const ends = await Promise.all(endings.map((end) => readEnd(t, end)));
  t.strictSame(ends, ['ECONNRESET', 'ECONNRESET', 'ECONNRESET']);
});
