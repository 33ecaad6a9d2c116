import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import replayLoad from '../../../test/requestMesh/replayLoad.js';

import type { LoadRequest, LoadResult, LoadServers } from '../../../test/requestMesh/replayLoad.js';

const LENGTH_MS = 12_000;

type Draw = () => number;

const createArrivals = (
  perSecond: number,
  [fromMs, toMs]: [number, number],
  createRequest: (atMs: number) => LoadRequest,
): LoadRequest[] =>
  Array.from({ length: Math.floor((perSecond * (toMs - fromMs)) / 1_000) }, (_, index) =>
    createRequest(fromMs + (index * 1_000) / perSecond),
  );

/** Share of the requests sent in a span that were answered within their objective. */
const computeTimely = (results: LoadResult[], [fromMs, toMs]: [number, number]): number => {
  const sent = results.filter(({ request: { atMs } }) => atMs >= fromMs && atMs < toMs);
  const timely = sent.filter(
    ({ request, endedAtMs, isAnswered }) =>
      isAnswered && endedAtMs <= request.atMs + request.objectiveMs,
  );
  return timely.length / Math.max(1, sent.length);
};

const compare = (
  load: { servers: LoadServers[]; requests: LoadRequest[] },
  random: Draw,
  span: [number, number],
): { before: number; after: number } => ({
  before: computeTimely(replayLoad(load, { isByCost: false, random }), span),
  after: computeTimely(replayLoad(load, { isByCost: true, random }), span),
});

const createBoardRequest = (random: Draw) => {
  const draw = (meanMs: number): number => -Math.log(1 - random()) * meanMs;
  return (atMs: number): LoadRequest => ({
    ...{ atMs, service: 'board', route: 'fetch', workMs: draw(150) },
    ...{ objectiveMs: 600, deadlineMs: 1_500, priority: 0 },
    calls: [
      {
        ...{ service: 'ledger', route: 'peek', workMs: draw(40) },
        ...{ objectiveMs: 250, deadlineMs: 600, priority: 2 },
      },
    ],
  });
};

// Guards against requests that hold a slot while their calls find no room at another service.
tap.test('calls are answered while new work overloads the service that is called', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const span: [number, number] = [3_000, 9_000];
  const fetches = createArrivals(40, [0, LENGTH_MS], createBoardRequest(random));
  const browse = createArrivals(60, span, (atMs) => ({
    ...{ atMs, service: 'ledger', route: 'browse', workMs: -Math.log(1 - random()) * 300 },
    ...{ objectiveMs: 1_500, deadlineMs: 3_000, priority: 1 },
  }));
  const servers = [
    { service: 'board', slots: 4, paces: [1, 1, 1] },
    { service: 'ledger', slots: 4, paces: [1, 1] },
  ];
  const load = { servers, requests: [...fetches, ...browse] };
  const results = [false, true].map((isByCost) =>
    replayLoad(load, { isByCost, random }).filter(({ request }) => request.route === 'fetch'),
  );
  const [before = 0, after = 0] = results.map((list) => computeTimely(list, span));
  t.comment(`timely before ${before}, after ${after}`);
  t.ok(after > 0.75 && after > before + 0.3, `${before} to ${after}`);
  const recovered = computeTimely(results[1] ?? [], [11_000, LENGTH_MS]);
  t.ok(recovered > 0.85, `${recovered} two seconds after the load`);
});

const createLookup =
  (workMs: Draw) =>
  (atMs: number): LoadRequest => ({
    ...{ atMs, service: 'board', route: 'lookup', workMs: workMs() },
    ...{ objectiveMs: 350, deadlineMs: 1_500 },
  });

const compareSpeeds = (paces: number[], perSecond: number, random: Draw, workMs: Draw) =>
  compare(
    {
      servers: [{ service: 'board', slots: 4, paces }],
      requests: createArrivals(perSecond, [0, LENGTH_MS], createLookup(workMs)),
    },
    random,
    [2_000, LENGTH_MS],
  );

// Guards against filling slow servers because their share of slots in use looks the same.
tap.test('requests go where they are answered soonest at unequal speeds', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const paces = [0.6, 0.6, 1.4, 1.4, 1.4, 1.4, 2, 2];
  const requests = [
    ...createArrivals(200, [0, LENGTH_MS], (atMs) => ({
      ...{ atMs, service: 'board', route: 'short', workMs: 20 + 20 * random() },
      ...{ objectiveMs: 110, deadlineMs: 600 },
    })),
    ...createArrivals(36, [0, LENGTH_MS], (atMs) => ({
      ...{ atMs, service: 'board', route: 'long', workMs: 300 + 400 * random() },
      ...{ objectiveMs: 1_500, deadlineMs: 3_000, priority: 1 },
    })),
  ];
  const servers = [{ service: 'board', slots: 4, paces }];
  const { before, after } = compare({ servers, requests }, random, [2_000, LENGTH_MS]);
  t.comment(`timely before ${before}, after ${after}`);
  t.ok(1 - after < (1 - before) * 0.6, `${before} to ${after}`);
});

// Guards against taking a server that got the long requests for a slow one.
tap.test('heavy tails do not make requests avoid quick servers', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const draw = (): number => (random() < 0.03 ? 700 : 100) * (0.7 + 0.6 * random());
  const { before, after } = compareSpeeds([1, 1, 1, 1, 1, 1, 1, 1], 240, random, draw);
  t.comment(`timely before ${before}, after ${after}`);
  t.ok(after > before - 0.02 && after > 0.85, `${before} to ${after}`);
});

// Guards against filling the servers that are several times slower than the others.
tap.test('requests are answered in time while a fifth of the servers is slow', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const paces = [1, 1, 1, 1, 1, 1, 1, 1, 4, 4];
  const { before, after } = compareSpeeds(paces, 210, random, () => 80 + 60 * random());
  t.comment(`timely before ${before}, after ${after}`);
  t.ok(after > before - 0.02 && after > 0.9, `${before} to ${after}`);
});
