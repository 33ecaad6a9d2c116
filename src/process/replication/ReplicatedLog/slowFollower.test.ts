import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';

import { LinkFault } from '../../../../stand-ins/FaultyPeerClient/index.js';
import { ControlCluster, createChange } from '../../../../stand-ins/controlCluster/index.js';
import { ApplyOutcome, MemberRole } from '../ControlLog/index.js';

/** Bound for the acknowledgement of a change. */
const ACKNOWLEDGEMENT_MS = 4_000;
const OBSERVED_MS = 4_000;
const SAMPLE_INTERVAL_MS = 20;

// Guards against control VMs that elect one leader after the other while the only other voter responds
// slowly: no change is acknowledged meanwhile, and nodes lose the proof that their version is the newest.
[LinkFault.DelayResponse, LinkFault.DelayResponseLong].forEach((fault) =>
  tap.test(`a leader keeps its term while a follower responds slowly: ${fault}`, async (t) => {
    const cluster = await ControlCluster.start({ seed: 1, memberCount: 3 });
    t.teardown(() => cluster.close());
    const leader = await cluster.waitForLeader();
    const [follower = '', lost = ''] = cluster.memberIds().filter((id) => id !== leader);
    await cluster.stopMember(lost);
    cluster.findFault = (from, to, kind) =>
      from === leader && to === follower && kind === 'append' ? fault : LinkFault.None;
    let lostCount = 0;
    const sampling = setInterval(() => {
      if (cluster.log(leader).role !== MemberRole.Leader) lostCount += 1;
    }, SAMPLE_INTERVAL_MS);
    t.teardown(() => clearInterval(sampling));
    const startedAtMs = performance.now();
    const { outcome } = await cluster.log(leader).propose(createChange(1, 4), Date.now());
    t.equal(outcome, ApplyOutcome.Accepted);
    t.ok(performance.now() - startedAtMs < ACKNOWLEDGEMENT_MS);
    await delay(OBSERVED_MS);
    clearInterval(sampling);
    t.equal(lostCount, 0, 'samples without the leader');
  }),
);
