import tap from 'tap';

import { RouteLatencies } from './index.js';

const addSamples = (latencies: RouteLatencies, routeName: string, latencyMs: number): void => {
  Array.from({ length: 50 }).forEach(() => latencies.add(routeName, latencyMs));
};

// Guards against long requests that take every slot of a server.
tap.test('routes are classified as slow or brief', async (t) => {
  const latencies = new RouteLatencies();
  addSamples(latencies, 'lookups', 5);
  addSamples(latencies, 'surveys', 200);
  addSamples(latencies, 'reports', 15);
  t.equal(latencies.isSlow('lookups'), false);
  t.equal(latencies.isSlow('surveys'), true);
  t.equal(latencies.isSlow('reports'), false, 'too short to starve others');
  t.equal(latencies.isSlow('unseen'), false);
  t.equal(latencies.isBrief('lookups'), true);
  t.equal(latencies.isBrief('surveys'), false);
  t.equal(latencies.isBrief('unseen'), false);
});

tap.test('the only route of an overloaded server is not slow', async (t) => {
  const latencies = new RouteLatencies();
  addSamples(latencies, 'lookups', 5);
  addSamples(latencies, 'lookups', 500);
  t.equal(latencies.isSlow('lookups'), false);
});

tap.test('many route names use bounded memory', async (t) => {
  const latencies = new RouteLatencies();
  Array.from({ length: 2_000 }).forEach((_, index) => latencies.add(`route-${index}`, 1));
  t.ok(latencies.get('route-0'));
  t.equal(latencies.get('route-1999'), undefined);
});
