import tap from 'tap';

import PeerTracker from './index.js';

// Guards against sending a request per candidate into a cut link before the node is avoided.
tap.test('one silence is enough to avoid a node for a while', async (t) => {
  const peers = new PeerTracker();
  t.equal(peers.noteSilent('n1', 1_000), true);
  t.equal(peers.isSilent('n1', 1_299), true);
  t.equal(peers.isSilent('n1', 1_300), false);
  t.equal(peers.isSilent('n2', 1_000), false);
});

tap.test('the pause doubles while a node stays silent, up to 2 s', async (t) => {
  const peers = new PeerTracker();
  let nowMs = 0;
  const pauses = [300, 600, 1_200, 2_000, 2_000].map((expectedMs) => {
    peers.noteSilent('n1', nowMs);
    const isRight =
      peers.isSilent('n1', nowMs + expectedMs - 1) && !peers.isSilent('n1', nowMs + expectedMs);
    nowMs += expectedMs;
    return isRight;
  });
  t.strictSame(pauses, [true, true, true, true, true]);
});

// Requests that were under way when the link was cut fail one after the other.
tap.test('several failures of one silence count once', async (t) => {
  const peers = new PeerTracker();
  peers.noteSilent('n1', 0);
  t.equal(peers.noteSilent('n1', 100), false);
  t.equal(peers.isSilent('n1', 300), false);
});

tap.test('an answer ends the silence', async (t) => {
  const peers = new PeerTracker();
  peers.noteSilent('n1', 0);
  peers.noteAlive('n1');
  t.equal(peers.isSilent('n1', 1), false);
});
