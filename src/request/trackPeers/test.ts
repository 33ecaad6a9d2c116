import tap from 'tap';

import PeerTracker from './index.js';

// Guards against sending one request per candidate into a cut link before the node is avoided.
tap.test('one timeout marks a node as unresponsive until it responds', async (t) => {
  const peers = new PeerTracker();
  t.equal(peers.recordFailure('n1', 1_000), true);
  t.equal(peers.isUnresponsive('n1'), true);
  t.equal(peers.isUnresponsive('n2'), false);
  peers.recordResponse('n1');
  t.equal(peers.isUnresponsive('n1'), false);
});

// Guards against probing a cut link with the requests of callers.
tap.test('an unresponsive node is probed after pauses that double up to 2 s', async (t) => {
  const peers = new PeerTracker();
  let nowMs = 0;
  const pauses = [300, 600, 1_200, 2_000, 2_000].map((expectedMs) => {
    peers.recordFailure('n1', nowMs);
    const isRight =
      peers.listDueForProbe(nowMs + expectedMs - 1).length === 0 &&
      peers.listDueForProbe(nowMs + expectedMs).join() === 'n1';
    nowMs += expectedMs;
    return isRight;
  });
  t.strictSame(pauses, [true, true, true, true, true]);
});

// Requests in flight when the link is cut fail one after the other.
tap.test('failures during the pause count once', async (t) => {
  const peers = new PeerTracker();
  peers.recordFailure('n1', 0);
  t.equal(peers.recordFailure('n1', 100), false);
  t.strictSame(peers.listDueForProbe(300), ['n1']);
});
