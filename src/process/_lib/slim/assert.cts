/**
 * `node:assert` without messages that quote the source.
 *
 * For an assertion without a message, Node.js parses the source file of the call to word one. For a
 * minified bundle that takes a minute and more, during which the process serves nothing.
 */
import nodeAssert = require('node:assert');

const DEFAULT_MESSAGE = 'assertion failed';

const assertTruthy = (value: unknown, message: string | Error = DEFAULT_MESSAGE): void => {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new nodeAssert.AssertionError({
    message,
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: assertTruthy,
  });
};

export = Object.assign(assertTruthy, nodeAssert, { ok: assertTruthy });
