import tap from 'tap';

import { createOrder } from '../../../../stand-ins/rollouts/index.js';
import { RolloutStage } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import type { Rollout } from '../../../_generated/foxtailvane/v1/rollouts_pb.js';
import { planRollout } from '../planRollout/index.js';
import type { Verdict } from '../VersionComparison/index.js';
import { decideRollout } from './index.js';
import type { RolloutSituation } from './index.js';

const GOOD: Verdict = {
  isBad: false,
  evidence: 'all routes: nothing found',
  suspicion: 0.1,
  targetRequests: 400,
  targetFailures: 1,
  otherRequests: 9_000,
  otherFailures: 30,
  comparedAnswers: 390,
  untestedRoutes: [],
};

const decide = (
  fields: Partial<Omit<Rollout, '$typeName' | '$unknown'>>,
  {
    verdict,
    ...situation
  }: Partial<Omit<RolloutSituation, 'verdict'>> & {
    verdict?: Partial<Verdict>;
  },
) => {
  const rollout = createOrder({ id: 1, step: 3, ...fields });
  return decideRollout({
    rollout,
    plan: planRollout(rollout.durationMs, 2_000),
    limits: { exposedShare: 0.1, exposedSlack: 50, rollbackMs: 5_000 },
    ageMs: 20_000,
    stepAgeMs: 5_000,
    targetAgeMs: 20_000,
    manyFailuresForMs: undefined,
    inForceForMs: undefined,
    verdict: { ...GOOD, ...verdict },
    ...situation,
  });
};

const PROMOTING = { stage: RolloutStage.PROMOTING, sharePermille: 1_000 };
const ROLLED_BACK = { stage: RolloutStage.ROLLED_BACK };

tap.test('a good version takes all stages well before its deadline', async (t) => {
  const share = (sharePermille: number) => ({ stage: RolloutStage.CANARY, sharePermille });
  t.equal(decide({ sharePermille: 0 }, { ageMs: 1_000, targetAgeMs: 900 }), undefined);
  t.match(decide({ sharePermille: 0 }, { ageMs: 5_000, targetAgeMs: 4_000 }), share(40));
  t.match(decide({ sharePermille: 40 }, {}), share(80));
  t.equal(decide({ sharePermille: 80 }, {}), undefined, 'goes on observing');
  t.match(decide({ sharePermille: 80 }, { ageMs: 43_000 }), share(300));
  t.match(decide({ sharePermille: 300 }, { ageMs: 45_000 }), PROMOTING);
  t.equal(decide(PROMOTING, { ageMs: 47_000, inForceForMs: 1_900 }), undefined);
  t.match(decide(PROMOTING, { ageMs: 49_000, inForceForMs: 2_000 }), {
    stage: RolloutStage.COMPLETED,
    reason: /in force at all nodes for 2000 ms/,
  });
});

// Guards against a bad version that keeps its share or gets all requests.
tap.test('a bad version is taken back at each stage', async (t) => {
  const verdict = { isBad: true, evidence: 'route orders: too many failures' };
  t.match(decide({ sharePermille: 40 }, { verdict }), { ...ROLLED_BACK, reason: /route orders/ });
  t.match(decide({ sharePermille: 300 }, { verdict }), ROLLED_BACK);
  t.match(decide(PROMOTING, { verdict, inForceForMs: 60_000 }), ROLLED_BACK);
  const weak = { targetFailures: 50, targetRequests: 900 };
  t.match(decide({ sharePermille: 80 }, { verdict: weak, manyFailuresForMs: 2_000 }), ROLLED_BACK);
  const burst = { ...weak, otherFailures: 600 };
  t.equal(decide({ sharePermille: 80 }, { verdict: burst, manyFailuresForMs: 9_000 }), undefined);
});

// Guards against a version that is called good because nothing is known about it.
tap.test('a verdict that cannot be reached in time is a rollback that says why', async (t) => {
  const late = { ageMs: 51_000 };
  t.match(decide({ sharePermille: 80 }, { ...late, verdict: { targetRequests: 3 } }), {
    ...ROLLED_BACK,
    reason: /3 requests reached the version/,
  });
  t.match(decide({ sharePermille: 80 }, { ...late, verdict: { suspicion: 0.8 } }), ROLLED_BACK);
  t.match(decide({ sharePermille: 300 }, { ...late, verdict: { suspicion: 0.8 } }), ROLLED_BACK);
  t.match(
    decide({ sharePermille: 80 }, { ...late, verdict: { untestedRoutes: ['rare'] } }),
    PROMOTING,
  );
  t.match(decide(PROMOTING, { ageMs: 59_900 }), { ...ROLLED_BACK, reason: /within 60000 ms/ });
  t.match(decide({ sharePermille: 0 }, { ageMs: 90_000 }), ROLLED_BACK, 'after a long outage');
});

// Guards against an exposure above the limit when demand falls or many nodes restart.
tap.test('a version with more requests than its share allows gets none for a time', async (t) => {
  const verdict = { targetRequests: 130, otherRequests: 800 };
  t.match(decide({ sharePermille: 80 }, { verdict }), { sharePermille: 0 });
  t.equal(decide({ sharePermille: 0 }, { verdict }), undefined);
});

tap.test('a roll-out that has ended takes no further step', async (t) => {
  const verdict = { isBad: true };
  [RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK].forEach((stage) => {
    t.equal(decide({ stage }, { verdict, ageMs: 90_000 }), undefined);
  });
});
