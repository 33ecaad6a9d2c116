/** Bundled nodes that end within answers whose end is marked only by the end of their connection. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import tap from 'tap';

import type { Socket } from 'node:net';
import type { Test } from 'tap';
import { PlatformCluster, createConfigurationDocument } from '../../stand-ins/platform/index.js';
import type PlatformMachine from '../../stand-ins/platform/PlatformMachine.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const CONTROL_IP = '127.0.111.1';
/** The answering worker is beside the first node; callers connect to the others. */
const NODE_IPS = ['127.0.112.1', '127.0.112.2', '127.0.112.3'];
const SERVICES = ['desk', 'ledger', 'archive'];
const [SERVICE = ''] = SERVICES;
const CALLERS = 6;
const DEADLINE_MS = 9_000;
/** A stopping node ends what is in flight after its readiness has been probed, some 2.5 s. */
const GRACE = '2s';
const PART_INTERVAL_MS = 100;
/** Time from the first bytes of an answer to the signal. */
const SIGNAL_DELAY_MS = 700;

interface AnswerForm {
  /** Bytes at once, before the first interval. */
  firstBytes: number;
  partBytes: number;
  parts: number;
}

/** Forms of an answer, by the end of the path. */
const FORMS: Record<string, AnswerForm> = {
  short: { firstBytes: 100, partBytes: 100, parts: 14 },
  slow: { firstBytes: 100, partBytes: 100, parts: 50 },
  long: { firstBytes: 2_000_000, partBytes: 1_000, parts: 50 },
};

const readForm = (path: string): AnswerForm | undefined => FORMS[path.split('/').at(-1) ?? ''];

const sumBytes = ({ firstBytes, partBytes, parts }: AnswerForm): number =>
  firstBytes + partBytes * parts;

/** Writes an answer without a length, a part per interval, and ends its connection in order. */
const writeAnswer = async (path: string, attemptId: string, socket: Socket): Promise<void> => {
  const form = readForm(path);
  if (!form) return;
  socket.on('error', () => undefined);
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attemptId}\r\nServer-Stamp: s\r\n\r\n`);
  socket.write('x'.repeat(form.firstBytes));
  await Array.from({ length: form.parts }).reduce<Promise<void>>(async (earlier) => {
    await earlier;
    await sleep(PART_INTERVAL_MS);
    socket.write('x'.repeat(form.partBytes));
  }, Promise.resolve());
  socket.end();
};

enum CallerEnd {
  Orderly = 'ORDERLY',
  Reset = 'RESET',
}

interface Received {
  text: string;
  end: CallerEnd;
}

/** Returns whether an answer whose head states its length has arrived completely. */
const isWholeByLength = (text: string): boolean => {
  const [head = '', body] = text.split('\r\n\r\n');
  const lengthBytes = /^content-length: *(\d+)/im.exec(head)?.[1];
  return body !== undefined && lengthBytes !== undefined && body.length >= Number(lengthBytes);
};

/**
 * Sends a lookup and returns what arrived until the connection was over, or until the end of an answer of
 * stated length, after which the connection may be kept.
 */
const call = (
  node: PlatformMachine | undefined,
  form: string,
  version = '1.1',
): Promise<Received> => {
  const [host = '', port] = (node?.address('outbound') ?? '').split(':');
  const socket = connect(Number(port), host);
  const head = [
    `GET /${SERVICE}/${form} HTTP/${version}`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`, `Deadline-Remaining: ${DEADLINE_MS}`],
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  return new Promise((resolve) => {
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (!isWholeByLength(text)) return;
      socket.destroy();
      resolve({ text, end: CallerEnd.Orderly });
    });
    socket.on('error', () => resolve({ text, end: CallerEnd.Reset }));
    // After a reset that the runtime reports as an end, the connection has no peer any more.
    socket.on('end', () =>
      resolve({ text, end: socket.remoteAddress ? CallerEnd.Orderly : CallerEnd.Reset }),
    );
  });
};

const callAll = (node: PlatformMachine | undefined, form: string): Promise<Received[]> =>
  Promise.all(Array.from({ length: CALLERS }, () => call(node, form)));

const countBodyBytes = ({ text }: Received): number => text.split('\r\n\r\n')[1]?.length ?? 0;

const isSuccess = ({ text }: Received): boolean => text.startsWith('HTTP/1.1 200');

/** Returns whether a caller takes a part of the answer for the whole. */
const isFalselyWhole = (received: Received, form: string): boolean => {
  const missesBytes = countBodyBytes(received) < sumBytes(FORMS[form] as AnswerForm);
  return isSuccess(received) && received.end === CallerEnd.Orderly && missesBytes;
};

const describe = (replies: Received[]): string =>
  replies
    .map((reply) => `${reply.text.slice(9, 12)} ${countBodyBytes(reply)} ${reply.end}`)
    .join(', ');

const startPlatform = async (t: Test): Promise<PlatformCluster> => {
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true, bounds: { grace: GRACE } },
    findWorkerOptions: () => ({
      slots: 4 * CALLERS,
      writeRawAnswer: ({ path, attemptId }, socket) => {
        writeAnswer(path, attemptId, socket).catch(() => undefined);
        return readForm(path) !== undefined;
      },
    }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  await platform.applyConfiguration({ ...document, routes });
  await platform.waitUntilServing();
  return platform;
};

/** Sends a signal to a node while callers receive answers, and checks what they received. */
const checkStop = async (
  t: Test,
  platform: PlatformCluster,
  options: {
    entry: PlatformMachine | undefined;
    stopped: PlatformMachine | undefined;
    signal: NodeJS.Signals;
    forms: string[];
  },
): Promise<void> => {
  const { entry, stopped, signal, forms } = options;
  const [worker] = platform.workers;
  const runsBefore = worker?.runs.length ?? 0;
  const replies = forms.map((form) => callAll(entry, form));
  await waitFor('runs of the requests', () =>
    Promise.resolve((worker?.runs.length ?? 0) >= runsBefore + forms.length * CALLERS),
  );
  await sleep(SIGNAL_DELAY_MS);
  await stopped?.stop(signal);
  const received = await Promise.all(replies);
  forms.forEach((form, index) => {
    const ofForm = received[index] ?? [];
    const falselyWhole = ofForm.filter((reply) => isFalselyWhole(reply, form));
    const title = `${form}, ${signal} to the ${stopped === entry ? 'entry node' : 'node beside the worker'}`;
    t.equal(falselyWhole.length, 0, `${title}: ${describe(ofForm)}`);
  });
};

// Guards against an answer that is lost or altered because it is held until its end.
tap.test('callers receive whole answers without a length, short and long', async (t) => {
  const platform = await startPlatform(t);
  await ['short', 'long'].reduce(async (earlier, form) => {
    await earlier;
    const replies = await Promise.all(
      ['1.1', '1.0'].map((version) => call(platform.nodes[1], form, version)),
    );
    const wholeBytes = sumBytes(FORMS[form] as AnswerForm);
    const whole = replies.filter((reply) => countBodyBytes(reply) === wholeBytes);
    t.equal(whole.filter(isSuccess).length, replies.length, `${form}: ${describe(replies)}`);
    t.ok(replies.every(({ end }) => end === CallerEnd.Orderly));
  }, Promise.resolve());
});

// Guards against a part that looks whole, because the system closes the connections of a process that
// is killed as an answer without a length is ended (MIXED).
tap.test('a node that is killed leaves no part of an answer that looks whole', async (t) => {
  const platform = await startPlatform(t);
  const [beside, first, second] = platform.nodes;
  const signal = 'SIGKILL';
  await checkStop(t, platform, { entry: first, stopped: first, signal, forms: ['short'] });
  const forms = ['short', 'long'];
  await checkStop(t, platform, { entry: second, stopped: beside, signal, forms });
});

// Guards against a part that looks whole, because a node closes its connections in order as it ends.
tap.test('a node that stops leaves no part of an answer that looks whole', async (t) => {
  const platform = await startPlatform(t);
  const [beside, first, second] = platform.nodes;
  const signal = 'SIGTERM';
  const forms = ['slow', 'long'];
  await checkStop(t, platform, { entry: first, stopped: first, signal, forms });
  await checkStop(t, platform, { entry: second, stopped: beside, signal, forms });
});

// Guards against the same for an answer that is too long to be held.
tap.test('a node that is killed leaves no part of a long answer that looks whole', async (t) => {
  const platform = await startPlatform(t);
  const [, first] = platform.nodes;
  const options = { entry: first, stopped: first, signal: 'SIGKILL' as const, forms: ['long'] };
  await checkStop(t, platform, options);
});
