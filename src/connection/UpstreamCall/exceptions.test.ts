/** Calls with parts that throw, which a parser or the process would otherwise get. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import type { ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { Test } from 'tap';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import sendRaw from '../../../test/requestMesh/sendRaw.js';
import { CallErrorCode } from '../CallError/index.js';
import { UpstreamCall } from './index.js';

import type { CallError } from '../CallError/index.js';
import type { CallSummary, UpstreamCallOptions } from './index.js';

/** A call that does not end is a failure. */
const TIMEOUT_MS = 5_000;
const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';

type Outcome = Result<CallSummary, CallError>;

interface Upstream {
  call: UpstreamCall;
  response: ServerResponse;
  onHeaders: (statusCode: number, headers: string[], resume?: () => void) => boolean;
}

const encode = (parts: string[]): Buffer[] => parts.map((part) => Buffer.from(part, 'latin1'));

const throwFault = (): never => {
  throw new Error('fault');
};

/**
 * Sends a request to a node whose upstream is the function given.
 *
 * @returns what the caller received, the outcome of the call, and the exceptions that nothing caught
 */
const run = async (
  t: Test,
  options: Partial<UpstreamCallOptions>,
  answer: (upstream: Upstream) => void,
) => {
  const uncaught: unknown[] = [];
  const record = (reason: unknown): void => {
    uncaught.push(reason);
  };
  process.on('unhandledRejection', record).on('uncaughtException', record);
  const outcomes: Outcome[] = [];
  const server = createServer((_, response) => {
    const call = new UpstreamCall(response, { isNode: false, ...options });
    const onHeaders: Upstream['onHeaders'] = (statusCode, headers, resume = () => undefined) =>
      call.onHeaders(statusCode, encode(headers), resume);
    const dispatcher = {
      dispatch: (): boolean => {
        call.onConnect(() => undefined);
        setImmediate(() => {
          try {
            answer({ call, response, onHeaders });
          } catch (error) {
            record(error);
          }
        });
        return true;
      },
    };
    call
      .send(dispatcher as unknown as Dispatcher, {
        method: 'GET',
        path: '/',
        headers: [],
        body: null,
      })
      .then((outcome) => {
        outcomes.push(outcome);
        if (outcome.isOk()) return;
        if (response.headersSent) response.destroy();
        else response.writeHead(502, ['content-length', '6']).end('failed');
      })
      .catch(record);
  });
  const received = await sendRaw(await listenOnLoopback(server), REQUEST);
  await delay(5);
  server.close();
  process.off('unhandledRejection', record).off('uncaughtException', record);
  t.strictSame(uncaught, []);
  return { received, outcome: outcomes[0] };
};

const OK_HEAD = ['content-length', '2'];
const INVALID_HEADS: Record<string, [statusCode: number, headers: string[]]> = {
  'a control character in a value': [200, ['x-a', 'a\u0001b', ...OK_HEAD]],
  'a line break in a value': [200, ['x-a', 'a\r\nset-cookie: b', ...OK_HEAD]],
  'a space in a name': [200, ['x a', 'b', ...OK_HEAD]],
  'a control character in a value, without a length': [200, ['x-a', 'a\u0001b']],
  'a control character in a value, without a body': [204, ['x-a', 'a\u0001b']],
};

// Guards against an exception inside the parser, and a refusal with the reason or framing of that head.
Object.entries(INVALID_HEADS).forEach(([name, [statusCode, headers]]) =>
  tap.test(`a head with ${name} fails the call`, { timeout: TIMEOUT_MS }, async (t) => {
    const { received, outcome } = await run(t, {}, ({ call, onHeaders }) => {
      onHeaders(statusCode, headers);
      if (statusCode === 200) call.onData(Buffer.from('ok'));
      call.onComplete([]);
    });
    t.equal(outcome?.isErr() && outcome.error.code, CallErrorCode.NoResponse);
    t.match(received, /^HTTP\/1\.1 502 Bad Gateway\r\n[^]*\r\n\r\nfailed$/);
    t.notMatch(received, 'set-cookie');
  }),
);

const complete =
  (trailers: string[] = []) =>
  ({ call, onHeaders }: Upstream): void => {
    onHeaders(200, []);
    call.onData(Buffer.from('ok'));
    call.onComplete(encode(trailers));
  };

const WHOLE = /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\n2\r\nok\r\n0\r\n/;
const INVALID_TRAILERS = ['x-a', '1', 'x-b', 'a\u0001b', 'x c', '2', '', '3', 'x-d', '4'];
const createTap = (finish: () => Promise<void>) => ({
  addHead: () => undefined,
  addChunk: () => undefined,
  finish,
});

// Guards against an answer that is lost because of a trailer, and a rejection that ends the process.
Object.entries({
  'no tap': {},
  'a tap': { tap: createTap(() => Promise.resolve()) },
  'a tap that fails': { tap: createTap(() => Promise.reject(new Error('fault'))) },
}).forEach(([name, options]) =>
  tap.test(
    `trailers that cannot be sent are dropped with ${name}`,
    { timeout: TIMEOUT_MS },
    async (t) => {
      const { received, outcome } = await run(t, options, complete(INVALID_TRAILERS));
      t.ok(outcome?.isOk());
      t.match(received, WHOLE);
      t.ok(received.endsWith('0\r\nx-a: 1\r\nx-d: 4\r\n\r\n'), received);
    },
  ),
);

const FAULTY_OPTIONS: Record<string, Partial<UpstreamCallOptions>> = {
  onHead: { onHead: throwFault },
  validateHead: { validateHead: throwFault },
  shouldWithhold: { shouldWithhold: throwFault },
  'addHead of a tap': {
    tap: { ...createTap(() => Promise.resolve()), addHead: throwFault },
  },
  'addChunk of a tap': {
    tap: { ...createTap(() => Promise.resolve()), addChunk: throwFault },
  },
  'finish of a tap': { tap: createTap(throwFault) },
};

// Guards against a callback of a call whose exception reaches the parser.
Object.entries(FAULTY_OPTIONS).forEach(([name, options]) =>
  tap.test(`an exception in ${name} fails the call`, { timeout: TIMEOUT_MS }, async (t) => {
    const { received, outcome } = await run(t, options, complete());
    t.ok(outcome?.isErr());
    t.notMatch(received, WHOLE);
  }),
);

// Guards against an answer that is lost because of a part that its caller does not need.
tap.test(
  'an exception that informational responses cause is no failure',
  { timeout: TIMEOUT_MS },
  async (t) => {
    const options = { onAcknowledged: throwFault, validateHints: throwFault };
    const { received, outcome } = await run(t, options, (upstream) => {
      upstream.onHeaders(102, []);
      upstream.onHeaders(103, ['link', '</a>']);
      complete()(upstream);
    });
    t.ok(outcome?.isOk());
    t.match(received, WHOLE);
  },
);

// Guards against two answers that mix, or an exception after the answer, once a call has failed.
tap.test(
  'an answer that waits for its tap is not lost because its connection fails',
  { timeout: TIMEOUT_MS },
  async (t) => {
    const slowTap = createTap(() => delay(20));
    const { received, outcome } = await run(t, { tap: slowTap }, (upstream) => {
      complete()(upstream);
      upstream.call.onError(new Error('the connection is dead'));
    });
    t.ok(outcome?.isOk());
    t.match(received, WHOLE);
  },
);

// Guards against a part of a failed call that is written into, or after, the answer that replaces it.
tap.test('nothing is written after the call failed', { timeout: TIMEOUT_MS }, async (t) => {
  const { received } = await run(t, {}, ({ call, onHeaders }) => {
    call.onError(new Error('the connection is dead'));
    onHeaders(200, []);
    call.onData(Buffer.from('ok'));
    call.onComplete([]);
  });
  t.match(received, /^HTTP\/1\.1 502 Bad Gateway\r\n[^]*\r\n\r\nfailed$/);
});

// Guards against the exception of a parser that cannot resume, in a listener that nothing guards.
tap.test(
  'an exception while the upstream is resumed fails the call',
  { timeout: TIMEOUT_MS },
  async (t) => {
    const { received, outcome } = await run(t, {}, ({ call, response, onHeaders }) => {
      onHeaders(200, [], throwFault);
      while (call.onData(Buffer.alloc(65_536)));
      once(response, 'drain').catch(() => undefined);
    });
    t.equal(outcome?.isErr() && outcome.error.code, CallErrorCode.Truncated);
    t.notMatch(received, /0\r\n\r\n$/);
  },
);
