import { spawn } from 'node:child_process';
import { connect } from 'node:net';

import tap from 'tap';

const MODULE = new URL('./index.js', import.meta.url).href;

/** Serves a part of a response that ends with its connection, and ends when a line arrives on its input. */
const createProgram = (ending: string): string => `
  import { createServer } from 'node:http';
  import { delimitByClose } from '${MODULE}';
  const server = createServer((_, response) => {
    delimitByClose(response);
    response.write('part');
  });
  server.listen(0, '127.0.0.1', () => console.log(server.address().port));
  process.stdin.once('data', () => { ${ending} });
`;

const ENDINGS = {
  'process.exit': 'process.exit(0)',
  'an uncaught error': "throw new Error('uncaught')",
};

// Guards against a part of a response that looks whole because the system closes the connections of a
// process in order as it exits (MIXED).
Object.entries(ENDINGS).forEach(([name, ending]) =>
  tap.test(`${name} resets the connection of an unfinished response`, async (t) => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', createProgram(ending)], {
      stdio: ['pipe', 'pipe', 'ignore'],
    });
    t.teardown(() => child.kill());
    const port = await new Promise((resolve) => {
      child.stdout.once('data', (chunk: Buffer) => resolve(Number(chunk.toString())));
    });
    const outcome = await new Promise((resolve) => {
      const caller = connect(Number(port), '127.0.0.1');
      caller.on('data', (chunk: Buffer) => {
        if (chunk.toString().endsWith('part')) child.stdin.write('\n');
      });
      caller.on('end', () => resolve('END'));
      caller.on('error', (error: NodeJS.ErrnoException) => resolve(error.code));
      caller.write('GET / HTTP/1.1\r\nhost: any\r\n\r\n');
    });
    t.equal(outcome, 'ECONNRESET');
  }),
);
