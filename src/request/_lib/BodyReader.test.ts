import { createServer, request as sendRequest } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import type { ClientRequest, IncomingMessage, ServerResponse } from 'node:http';
import type { Test } from 'tap';
import { NodeRecordSchema } from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import waitFor from '../../../stand-ins/waitFor/index.js';
import { listenOnLoopback } from '../../../test/requestMesh/index.js';
import { CrashLedger } from '../trackCrashes/index.js';
import BodyReader from './BodyReader.js';
import { BodyState, Exchange } from './Exchange.js';

const PATH = '/orders';
const CALLER = 'desk';
const LONG_BYTES = 200_000;
const MAX_HELD_BODIES = 128;

interface ReceivedRequest {
  exchange: Exchange;
  response: ServerResponse;
  /** Set once the body is read. */
  state?: BodyState;
}

const hasAllFingerprints = ({ exchange }: ReceivedRequest): boolean =>
  exchange.computeFingerprints(PATH, CALLER).length === 3;

/** Starts a listener that reads bodies with a ledger in which servers ended under such requests. */
const startListener = async (t: Test, { crashCount }: { crashCount: number }) => {
  const ledger = new CrashLedger();
  const reader = new BodyReader(ledger);
  const received: ReceivedRequest[] = [];
  const server = createServer((request: IncomingMessage, response) => {
    const exchange = new Exchange(request, response);
    exchange.startDeadline(5_000);
    if (ledger.isEmpty) {
      const fingerprints = exchange.computeFingerprints(PATH, CALLER);
      Array.from({ length: crashCount }).forEach((_, index) => {
        const own = create(NodeRecordSchema, { nodeId: `n${index}`, incarnation: 1n });
        ledger.recordCrash(fingerprints, own, 0);
      });
    }
    const entry: ReceivedRequest = { exchange, response };
    received.push(entry);
    reader.read(exchange, PATH, CALLER).then(
      (state) => Object.assign(entry, { state }),
      (error: unknown) => t.fail(String(error)),
    );
  });
  const address = await listenOnLoopback(server);
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const open = (lengthBytes?: number): ClientRequest => {
    const headers =
      lengthBytes === undefined
        ? { 'transfer-encoding': 'chunked' }
        : { 'content-length': lengthBytes };
    const options = { method: 'POST', headers, agent: false };
    const request = sendRequest(`http://${address}${PATH}`, options, (response) =>
      response.resume(),
    );
    request.on('error', () => undefined);
    return request;
  };
  return { received, open };
};

// Guards against a streamed repeat that is taken for another request than a buffered one.
tap.test('a body has the same fingerprints with a length and in chunks', async (t) => {
  const { received, open } = await startListener(t, { crashCount: 3 });
  open(6).end('bundle');
  const chunked = open();
  chunked.write('bun');
  await delay(50);
  chunked.end('dle');
  open().end('bundled');
  await waitFor(
    'bodies with all fingerprints',
    async () => received.filter(hasAllFingerprints).length === 3,
  );
  const [withLength, inChunks, other] = received
    .toSorted(
      (left, right) =>
        Number(left.exchange.hasStreamedBody) - Number(right.exchange.hasStreamedBody),
    )
    .map(({ exchange }) => exchange.computeFingerprints(PATH, CALLER));
  t.equal(withLength?.length, 3);
  t.strictSame(inChunks, withLength);
  t.equal(other?.length, 3);
  t.not(other?.[2], withLength?.[2]);
});

// Guards against a wait for bodies that no crash calls for: a server may answer before their end.
tap.test(
  'a body is passed on as it arrives unless servers ended under such requests',
  async (t) => {
    const { received, open } = await startListener(t, { crashCount: 1 });
    open().write('part');
    await delay(50);
    t.equal(received[0]?.state, BodyState.Streamed);
    t.equal(received[0]?.exchange.computeFingerprints(PATH, CALLER).length, 2);
  },
);

tap.test('a suspected body is held until the bytes that identify it have arrived', async (t) => {
  const { received, open } = await startListener(t, { crashCount: 2 });
  const short = open();
  short.write('part');
  const long = open(LONG_BYTES);
  long.write(Buffer.alloc(60_000));
  await waitFor('requests', async () => received.length === 2);
  await delay(50);
  t.strictSame(
    received.map(({ state }) => state),
    [undefined, undefined],
  );
  short.end();
  long.write(Buffer.alloc(60_000));
  await waitFor('bodies', async () => received.every(({ state }) => state !== undefined));
  t.strictSame(
    received.map(({ state }) => state),
    [BodyState.Streamed, BodyState.Streamed],
  );
  t.strictSame(
    received.map(({ exchange }) => exchange.computeFingerprints(PATH, CALLER).length),
    [3, 3],
  );
  const gone = open();
  gone.write('part');
  await waitFor('request', async () => received.length === 3);
  gone.destroy();
  await waitFor('end of the request', async () => received[2]?.state !== undefined);
  t.equal(received[2]?.state, BodyState.Incomplete, 'the caller disconnected');
});

// Guards against memory that grows with the number of callers that send slowly.
tap.test('a bounded number of bodies is held', async (t) => {
  const { received, open } = await startListener(t, { crashCount: 2 });
  const requests = Array.from({ length: MAX_HELD_BODIES + 2 }, () => open());
  requests.forEach((request) => request.write('part'));
  const countStates = (expected: BodyState | undefined): number =>
    received.filter(({ state }) => state === expected).length;
  await waitFor('requests', async () => received.length === requests.length);
  await delay(50);
  t.equal(countStates(BodyState.Streamed), 2);
  t.equal(countStates(undefined), MAX_HELD_BODIES);
  requests.forEach((request) => request.destroy());
  await waitFor(
    'end of the requests',
    async () => countStates(BodyState.Incomplete) === MAX_HELD_BODIES,
  );
  open().write('part');
  await waitFor('request', async () => received.length === requests.length + 1);
  await delay(50);
  t.equal(
    countStates(BodyState.Streamed),
    2,
    'bodies whose caller has disconnected are held no longer',
  );
});
