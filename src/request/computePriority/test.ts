import tap from 'tap';

import computePriority from './index.js';

// Guards against a workspace that precedes a more urgent one by its choice of routes.
tap.test('the priority of the workspace precedes that of the route', async (t) => {
  const urgent = computePriority({ priority: 1_000 }, { priority: 1 });
  const other = computePriority({ priority: 0 }, { priority: 2 });
  t.ok(urgent < other);
  t.ok(computePriority({ priority: 0 }, { priority: 1 }) < urgent);
});

// Guards against another order in deployments without workspaces.
tap.test('without a workspace the priority of the route decides alone', async (t) => {
  t.strictSame(
    [0, 3, 9, 40].map((priority) => computePriority({ priority }, undefined)),
    [0, 3, 9, 9],
  );
});
