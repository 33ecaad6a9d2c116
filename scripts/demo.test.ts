import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import tap from 'tap';

const DEMO = fileURLToPath(new URL('./demo.js', import.meta.url));

tap.test('the demo in the README exits with code 0 and every request is answered', async (t) => {
  const outcome = await new Promise<{ exitCode: number | null; output: string }>((resolve) => {
    const child = execFile(process.execPath, [DEMO], (_error, stdout, stderr) => {
      resolve({ exitCode: child.exitCode, output: stdout + stderr });
    });
  });
  t.equal(outcome.exitCode, 0, outcome.output);
  t.match(outcome.output, /^version: 1$/m);
  t.match(outcome.output, /^nodes in force: 6 of 6$/m);
  t.match(outcome.output, /^convergence time: \d+ ms$/m);
  t.match(outcome.output, /^requests: 300 sent, 300 answered, 0 refused, 0 unknown$/m);
  t.match(outcome.output, /^control bytes sent: [1-9]\d+$/m);
});
