import { PassThrough } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

import { Hono } from 'hono';
import tap from 'tap';

import { BodyRefusal, limitBodies } from './index.js';

const MAX_BYTES = 100;
const MAX_HELD_BYTES = 150;
/** Time for a part of a body to be read. */
const READ_MS = 10;

const STATUS_BY_REFUSAL = {
  [BodyRefusal.TooLarge]: 413,
  [BodyRefusal.TooManyBytes]: 503,
} as const;

/** Creates an app that responds with the body, and holds it until `release` is called. */
const createApp = () => {
  const waiting: (() => void)[] = [];
  const app = new Hono();
  app.use(
    limitBodies({
      findMaxBytes: () => MAX_BYTES,
      maxHeldBytes: MAX_HELD_BYTES,
      refuse: (context, refusal) => context.text(refusal, STATUS_BY_REFUSAL[refusal]),
    }),
  );
  app.post('/', async (context) => context.text(await context.req.text()));
  app.post('/held', async (context) => {
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
    });
    return context.body(await context.req.arrayBuffer());
  });
  return { app, release: () => waiting.splice(0).forEach((resume) => resume()) };
};

/** Creates a body whose parts are sent when `send` is called. */
const createPartialBody = () => {
  const body = new PassThrough();
  const send = async (sizeBytes: number): Promise<void> => {
    body.write('x'.repeat(sizeBytes));
    await sleep(READ_MS);
  };
  return { body, send, end: () => body.end(), breakOff: () => body.destroy(new Error('reset')) };
};

const post = (app: Hono, path: string, body: string | PassThrough) =>
  app.request(path, { method: 'POST', body, duplex: 'half' } as unknown as RequestInit);

// Guards against a limit that refuses or changes bodies within it.
tap.test('a body within the limit reaches the handler unchanged', async (t) => {
  const { app } = createApp();
  const response = await post(app, '/', 'ä'.repeat(MAX_BYTES / 2));
  t.equal(await response.text(), 'ä'.repeat(MAX_BYTES / 2));
  const { body, send, end } = createPartialBody();
  const answering = post(app, '/', body);
  await send(40);
  await send(60);
  end();
  t.equal(await (await answering).text(), 'x'.repeat(MAX_BYTES));
});

// Guards against a body that is kept whole before its size is compared with the limit.
tap.test('a body without end is refused at the limit, and its rest is read', async (t) => {
  const { app } = createApp();
  const { body, send, end } = createPartialBody();
  const answering = post(app, '/', body);
  await send(MAX_BYTES);
  await send(1);
  const response = await answering;
  t.equal(response.status, 413);
  await send(MAX_BYTES);
  end();
  t.equal((await post(app, '/', 'later')).status, 200);
});

// Guards against bodies within the limit of each that exceed the memory together, or keep out others.
tap.test('of too many bodies at the same time the largest incomplete one is refused', async (t) => {
  const { app, release } = createApp();
  const large = createPartialBody();
  const small = createPartialBody();
  const isLargeAnswered = post(app, '/', large.body);
  const isSmallAnswered = post(app, '/', small.body);
  await large.send(90);
  await small.send(30);
  await small.send(40);
  t.equal((await isLargeAnswered).status, 503, 'the larger one');
  small.end();
  t.equal((await isSmallAnswered).status, 200, 'the smaller one');

  const held = post(app, '/held', 'x'.repeat(MAX_BYTES));
  await sleep(READ_MS);
  t.equal((await post(app, '/', 'x'.repeat(60))).status, 503, 'beside a body that is handled');
  release();
  t.equal((await held).status, 200);
  t.equal((await post(app, '/', 'x'.repeat(60))).status, 200, 'after it was handled');
});

// Guards against a body that breaks off and counts towards the limit for ever.
tap.test('a body that breaks off is not kept', async (t) => {
  const { app } = createApp();
  await Array.from({ length: 3 }).reduce(async (earlier: Promise<void>) => {
    await earlier;
    const { body, send, breakOff } = createPartialBody();
    const answering = post(app, '/', body);
    await send(90);
    breakOff();
    t.equal((await answering).status, 500);
  }, Promise.resolve());
  t.equal((await post(app, '/', 'x'.repeat(MAX_BYTES))).status, 200);
});
