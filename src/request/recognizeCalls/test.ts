import tap from 'tap';

import createRandom from '../../../test/requestMesh/createRandom.js';
import CallRoutes from './index.js';

const SERVICES = ['board', 'turns', 'archive', 'mail'];

const pick = (from: string[], random: () => number): string =>
  from[Math.floor(random() * from.length)] ?? '';

/** Records requests of a route from random origins. */
const record = (routes: CallRoutes, route: string, origins: string[], random: () => number) =>
  Array.from({ length: 60 }).forEach(() => routes.record(route, pick(origins, random)));

// Guards against calls that wait behind new requests because they look like any other request.
tap.test('a route whose requests come from one service is one of calls', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const routes = new CallRoutes();
  record(routes, 'browse', SERVICES, random);
  t.notOk(routes.isCallRoute('chunk'), 'not before its requests are seen');
  record(routes, 'chunk', ['turns'], random);
  record(routes, 'peek', ['board', 'turns'], random);
  t.ok(routes.isCallRoute('chunk'));
  t.ok(routes.isCallRoute('peek'), 'two services that call');
  t.notOk(routes.isCallRoute('browse'));
});

// Guards against new requests that all count as calls, so that none is refused in time.
tap.test('routes of callers on all VMs are none of calls', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const routes = new CallRoutes();
  const many = Array.from({ length: 30 }, (_, index) => `service-${index}`);
  record(routes, 'browse', many, random);
  record(routes, 'commit', many, random);
  record(routes, 'chunk', ['service-1'], random);
  t.notOk(routes.isCallRoute('browse'));
  t.notOk(routes.isCallRoute('commit'));
});

// Guards against test requests, which enter at all nodes, making calls count as new requests.
tap.test('a few requests from elsewhere do not change a route of calls', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const routes = new CallRoutes();
  record(routes, 'browse', SERVICES, random);
  record(routes, 'chunk', ['turns'], random);
  routes.record('chunk', 'archive');
  t.ok(routes.isCallRoute('chunk'));
  record(routes, 'chunk', SERVICES, random);
  record(routes, 'chunk', SERVICES, random);
  t.notOk(routes.isCallRoute('chunk'), 'once callers use the route');
});
