/** Resident memory of a bundled node whose worker answers with bytes without end. */
import { randomUUID } from 'node:crypto';
import { connect } from 'node:net';

import tap from 'tap';

import type { Socket } from 'node:net';
import {
  PlatformCluster,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import type PlatformMachine from '../../stand-ins/platform/PlatformMachine.js';

const CONTROL_IP = '127.0.79.1';
/** The faulty worker is beside the first node; callers connect to either. */
const NODE_IPS = ['127.0.80.1', '127.0.80.2'];
const SERVICES = ['desk', 'ledger'];
const [FAULTY_SERVICE = '', SOUND_SERVICE = ''] = SERVICES;
/** `memory_mb` of the smallest machine on which a node runs. */
const MEMORY_LIMIT_BYTES = 250 * 1_048_576;
/** Callers per form that leave their answers unread, at either node. */
const UNREAD_CALLERS = [64, 32];
/** Callers per form and node that read. */
const READING_CALLERS = 8;
const CONNECTIONS = 128;
const DEADLINE_MS = 9_000;
/** Half of the deadline, so that a caller has time for another attempt. */
const MAX_ANSWER_MS = 4_500;
/** How long callers read a body without end. */
const BODY_MS = 2_000;
const SOUND_LOOKUPS = 10;
const RUNTIME_OPTIONS = ['--single-threaded', '--max-semi-space-size=1', '--liftoff-only'];
const FIELDS = 'x-more: value\r\n'.repeat(1_000);

/** Stands for the field with the id of the request, without which hints are dropped. */
const ID_FIELD = '{id}';

interface EndlessAnswer {
  start: string;
  part: string;
  /** Whether the bytes are those of an answer, which lasts until its callers leave. */
  isBody?: boolean;
}

const ENDLESS: Record<string, EndlessAnswer> = {
  'early hints with a link': {
    start: '',
    part: `HTTP/1.1 103 Early Hints\r\n${ID_FIELD}Link: </style.css>; rel=preload\r\n\r\n`.repeat(
      200,
    ),
  },
  'processing responses': { start: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(500) },
  'a status line': { start: 'HTTP/1.1 200 ', part: 'x'.repeat(16_384) },
  'a chunk extension': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=',
    part: 'x'.repeat(16_384),
  },
  trailers: {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    part: FIELDS,
  },
  'a refusal in chunks': {
    start: 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    part: `4000\r\n${'x'.repeat(16_384)}\r\n`,
  },
  'a body in chunks of one byte': {
    start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    part: '1\r\nx\r\n'.repeat(4_096),
    isBody: true,
  },
  'a body without a length': {
    start: 'HTTP/1.1 200 OK\r\n\r\n',
    part: 'x'.repeat(16_384),
    isBody: true,
  },
};

const flood = (socket: Socket, part: string): void => {
  if (!socket.destroyed) socket.write(part, () => setImmediate(flood, socket, part));
};

/** The path of a lookup names the form of its answer. */
const writeEndless = (path: string, attemptId: string, socket: Socket): boolean => {
  const answer = ENDLESS[decodeURIComponent(path.split('/').at(-1) ?? '')];
  if (!answer) return false;
  socket.on('error', () => undefined);
  const id = `\r\nAttempt-Id: ${attemptId}\r\nServer-Stamp: s`;
  socket.write(answer.start.replace(/(?<=^[^\r]+)(?=\r\n)/, id));
  flood(socket, answer.part.replaceAll(ID_FIELD, `Attempt-Id: ${attemptId}\r\n`));
  return true;
};

interface EndlessCall {
  outbound: string;
  /** Path behind that of the service. */
  path: string;
  method: 'GET' | 'POST';
  isRead: boolean;
  /** Time after which the caller leaves. */
  leaveAfterMs: number;
}

/** Sends a request; returns how long its connection lasted, in milliseconds. */
const callEndless = async (call: EndlessCall): Promise<number> => {
  const { outbound, path, method, isRead, leaveAfterMs } = call;
  const startedAtMs = performance.now();
  const [host = '', port] = outbound.split(':');
  const socket = connect(Number(port), host);
  socket.on('error', () => undefined);
  if (isRead) socket.resume();
  else socket.pause();
  const head = [
    `${method} /${FAULTY_SERVICE}/${path} HTTP/1.1`,
    ...['Host: shop.example', `Attempt-Id: ${randomUUID()}`],
    ...[`Deadline-Remaining: ${DEADLINE_MS}`, 'Connection: close'],
    ...(method === 'POST' ? ['Content-Length: 0'] : []),
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  await new Promise((resolve) => {
    socket.once('close', resolve);
    setTimeout(() => socket.destroy(), leaveAfterMs);
  });
  return performance.now() - startedAtMs;
};

/** Creates lookups and orders in turn. */
const createCalls = (
  form: string,
  count: number,
  rest: Omit<EndlessCall, 'path' | 'method'>,
): EndlessCall[] =>
  Array.from({ length: count }, (_, index) => {
    const name = encodeURIComponent(form);
    return index % 2 === 0
      ? { ...rest, method: 'GET', path: name }
      : { ...rest, method: 'POST', path: `orders/${name}` };
  });

const createDocument = (): object => {
  const document = createConfigurationDocument(1, 0, SERVICES);
  const routes = document.routes.map((route) => ({ ...route, timeout: '10s' }));
  const services = document.services.map((service) => ({
    ...service,
    max_connections: CONNECTIONS,
  }));
  return { ...document, routes, services };
};

// Guards against a node whose machine runs out of memory through one faulty worker, with all requests on it.
tap.test('a node stays within its memory while its worker sends bytes without end', async (t) => {
  const platform = new PlatformCluster({
    controlIps: [CONTROL_IP],
    nodeIps: NODE_IPS,
    services: SERVICES,
    zones: ['zone-a'],
    machine: { isBundled: true, runtimeOptions: RUNTIME_OPTIONS },
    findWorkerOptions: () => ({
      slots: CONNECTIONS,
      writeRawAnswer: ({ path, attemptId }, socket) => writeEndless(path, attemptId, socket),
    }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createDocument());
  await platform.waitUntilServing();
  const checkMemory = async (machine: PlatformMachine, title: string): Promise<void> => {
    const peakBytes = await machine.readPeakResidentBytes();
    t.ok(peakBytes < MEMORY_LIMIT_BYTES, `${title}: ${Math.round(peakBytes / 1_048_576)} MB`);
  };

  const outbounds = platform.nodes.map((machine) => machine.address('outbound'));
  const unread: Promise<number>[] = [];
  const play = async (form: string): Promise<void> => {
    unread.push(
      ...outbounds
        .flatMap((outbound, index) =>
          createCalls(form, UNREAD_CALLERS[index] ?? 0, {
            ...{ outbound, isRead: false, leaveAfterMs: DEADLINE_MS + 1_000 },
          }),
        )
        .map(callEndless),
    );
    const isBody = ENDLESS[form]?.isBody ?? false;
    const leaveAfterMs = isBody ? BODY_MS : DEADLINE_MS + 1_000;
    const reading = outbounds
      .flatMap((outbound) =>
        createCalls(form, READING_CALLERS, { outbound, isRead: true, leaveAfterMs }),
      )
      .map(callEndless);
    const lookups = outbounds.flatMap((outbound) =>
      Array.from({ length: SOUND_LOOKUPS }, () =>
        sendAttempt(outbound, { path: `/${SOUND_SERVICE}/1` }),
      ),
    );
    const served = (await Promise.all(lookups)).filter(({ status }) => status === 200);
    t.equal(served.length, lookups.length, `${form}: lookups at another worker`);
    const slowestMs = Math.round(Math.max(...(await Promise.all(reading))));
    t.ok(isBody || slowestMs < MAX_ANSWER_MS, `${form}: answered within ${slowestMs} ms`);
    await Promise.all(
      platform.nodes.map((machine) => checkMemory(machine, `${form}, ${machine.ip}`)),
    );
  };
  await Object.keys(ENDLESS).reduce(
    (earlier, form) => earlier.then(() => play(form)),
    Promise.resolve(),
  );
  await Promise.all(unread);
  await Promise.all(
    platform.nodes.map((machine) => checkMemory(machine, `at the end, ${machine.ip}`)),
  );
});
