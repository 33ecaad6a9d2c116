import tap from 'tap';

import PeerClient from '../../../../connection/replication/PeerClient/index.js';
import { DEFAULT_TIMINGS } from '../timings/index.js';
import PeerProgress from './index.js';

const createPeer = (fields: Partial<PeerProgress>): PeerProgress => {
  const client = Object.create(PeerClient.prototype) as PeerClient;
  return Object.assign(new PeerProgress('c2', '127.0.0.1:7401', client, 1), fields);
};

const NOW_MS = 100_000;

// Guards against requests that all end at the same timeout, and against a peer that is found late after
// its return, since a request to it still waits.
tap.test('the timeout grows for a peer that responded lately only', async (t) => {
  const compute = (fields: Partial<PeerProgress>) =>
    createPeer(fields).computeTimeoutMs(DEFAULT_TIMINGS, NOW_MS);
  t.equal(compute({ contactMs: NOW_MS - 100 }), 600);
  t.equal(compute({ contactMs: NOW_MS - 700, unansweredCount: 1 }), 1_200);
  t.equal(compute({ contactMs: NOW_MS - 1_900, unansweredCount: 2 }), 600);
  t.equal(compute({ contactMs: NOW_MS - 10_000, unansweredCount: 5 }), 600);
  t.equal(compute({ unansweredCount: 5 }), 600);
});
