import tap from 'tap';

import createRandom from '../../../../test/requestMesh/createRandom.js';
import { ObjectivePolicy } from '../AdmissionPolicy/index.js';
import { GateRefusal, SlotGate } from './index.js';

import type { SlotDemand } from './index.js';

const START_MS = 1_000_000;

const quick: SlotDemand = { deadlineMs: START_MS + 60_000, isRetry: false, isSlow: false };
const slow: SlotDemand = { ...quick, isSlow: true };
const retry: SlotDemand = { ...quick, isRetry: true };

/** Requests a slot and records the decision under a name. */
const requestSlot = (gate: SlotGate, demand: SlotDemand, decisions: string[], name: string) =>
  gate.admit(demand, START_MS, (refusal) => decisions.push(`${name}:${refusal ?? 'admitted'}`));

tap.test('the number of slots is never exceeded in any order of events', async (t) => {
  const random = createRandom((line) => t.comment(line));
  const gate = new SlotGate({ slots: 6 });
  const held: SlotDemand[] = [];
  let nowMs = START_MS;
  let maxInUse = 0;
  let admitted = 0;
  const steps = [
    () => {
      const demand = {
        deadlineMs: nowMs + 1 + random() * 200,
        isRetry: random() < 0.3,
        isSlow: random() < 0.5,
      };
      const withdraw = gate.admit(demand, nowMs, (refusal) => {
        if (refusal === undefined) {
          held.push(demand);
          admitted += 1;
        }
      });
      if (random() < 0.1) withdraw(nowMs);
    },
    () => {
      const [demand] = held.splice(Math.floor(random() * held.length), 1);
      if (demand) gate.release(demand, 5, nowMs);
    },
    () => {
      const granted = gate.grant(2);
      if (random() < 0.5) gate.releaseGranted(granted, nowMs);
      else gate.releaseGranted(gate.granted, nowMs);
    },
  ];
  Array.from({ length: 20_000 }).forEach(() => {
    nowMs += 1;
    steps[Math.floor(random() * steps.length)]?.();
    maxInUse = Math.max(maxInUse, held.length + gate.granted);
    if (gate.used !== held.length + gate.granted) t.fail('the count differs from the slots in use');
  });
  t.ok(maxInUse <= 6, `${maxInUse} at once`);
  t.ok(admitted > 1_000, `${admitted} admitted`);
});

tap.test('slow requests cannot use the reserved slots', async (t) => {
  const gate = new SlotGate({ slots: 4 });
  const decisions: string[] = [];
  ['s1', 's2', 's3', 's4'].forEach((name) => requestSlot(gate, slow, decisions, name));
  requestSlot(gate, quick, decisions, 'q1');
  t.strictSame(decisions, ['s1:admitted', 's2:admitted', 's3:admitted', 'q1:admitted']);
  t.equal(gate.waiting, 1);
});

tap.test('first attempts are served before retries', async (t) => {
  const gate = new SlotGate({ slots: 1 });
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'first');
  requestSlot(gate, retry, decisions, 'retry');
  requestSlot(gate, quick, decisions, 'quick');
  gate.release(quick, 1, START_MS);
  gate.release(quick, 1, START_MS);
  t.strictSame(decisions, ['first:admitted', 'quick:admitted', 'retry:admitted']);
});

tap.test('an urgent request displaces a less urgent one from a full queue', async (t) => {
  const gate = new SlotGate({ slots: 1, queuePerSlot: 2 });
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'first');
  requestSlot(gate, slow, decisions, 'slow');
  requestSlot(gate, retry, decisions, 'retry');
  requestSlot(gate, quick, decisions, 'quick');
  requestSlot(gate, retry, decisions, 'late');
  t.strictSame(decisions, [
    'first:admitted',
    `slow:${GateRefusal.Displaced}`,
    `late:${GateRefusal.QueueFull}`,
  ]);
});

tap.test('a request that cannot meet its deadline is refused immediately', async (t) => {
  const gate = new SlotGate({ slots: 1 });
  const decisions: string[] = [];
  Array.from({ length: 60 }).forEach(() => {
    gate.admit(quick, START_MS, () => undefined);
    gate.release(quick, 100, START_MS);
  });
  requestSlot(gate, quick, decisions, 'first');
  requestSlot(gate, { ...quick, deadlineMs: START_MS + 50 }, decisions, 'short');
  requestSlot(gate, { ...quick, deadlineMs: START_MS + 150 }, decisions, 'long');
  requestSlot(gate, { ...quick, deadlineMs: START_MS - 1 }, decisions, 'past');
  t.strictSame(decisions, [
    'first:admitted',
    `short:${GateRefusal.DeadlineTooShort}`,
    `past:${GateRefusal.DeadlinePassed}`,
  ]);
  gate.release(quick, 100, START_MS + 151);
  t.equal(decisions.at(-1), `long:${GateRefusal.DeadlinePassed}`);
});

tap.test('slow requests are not starved by a constant stream of quick ones', async (t) => {
  const gate = new SlotGate({ slots: 2 });
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'q');
  requestSlot(gate, quick, decisions, 'q');
  requestSlot(gate, slow, decisions, 'slow');
  Array.from({ length: 20 }).forEach(() => {
    requestSlot(gate, quick, decisions, 'q');
    gate.release(quick, 1, START_MS);
  });
  t.ok(decisions.includes('slow:admitted'));
});

tap.test('only idle unreserved slots are granted, and granted slots count as used', async (t) => {
  const gate = new SlotGate({ slots: 4 });
  t.equal(gate.grant(10), 3);
  t.equal(gate.used, 3);
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'a');
  requestSlot(gate, quick, decisions, 'b');
  t.strictSame(decisions, ['a:admitted']);
  t.equal(gate.grant(1), 0);
  gate.releaseGranted(1, START_MS);
  t.strictSame(decisions, ['a:admitted', 'b:admitted']);
});

tap.test('a closed gate refuses waiting and new requests', async (t) => {
  const gate = new SlotGate({ slots: 1 });
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'first');
  requestSlot(gate, quick, decisions, 'waits');
  gate.close();
  requestSlot(gate, quick, decisions, 'late');
  t.strictSame(decisions.slice(1), [`waits:${GateRefusal.Closed}`, `late:${GateRefusal.Closed}`]);
});

// Guards against requests that wait for a rate limit longer than they have time.
tap.test(
  'a request that the rate limit delays beyond its deadline is refused at once',
  async (t) => {
    const gate = new SlotGate({ slots: 20, policy: new ObjectivePolicy() });
    gate.limitRate(2, START_MS);
    const decisions: string[] = [];
    requestSlot(gate, { ...quick, deadlineMs: START_MS + 2_000 }, decisions, 'first');
    requestSlot(gate, { ...quick, deadlineMs: START_MS + 2_000 }, decisions, 'second');
    requestSlot(gate, { ...quick, deadlineMs: START_MS + 2_000 }, decisions, 'third');
    t.strictSame(decisions, ['third:DEADLINE_TOO_SHORT']);
    t.equal(gate.computeAdmissionDelayMs(START_MS), 500);
    gate.admitWaiters(START_MS + 500);
    t.strictSame(decisions, ['third:DEADLINE_TOO_SHORT', 'first:admitted']);
    gate.limitRate(undefined, START_MS + 600);
    t.strictSame(decisions, ['third:DEADLINE_TOO_SHORT', 'first:admitted', 'second:admitted']);
  },
);

// Guards against a timer that fires just before the rate limit allows the next request and is not set
// again, so that the server is idle while requests wait until their deadline.
tap.test('a request that the rate limit allows meanwhile is admitted without delay', async (t) => {
  const gate = new SlotGate({ slots: 20 });
  gate.limitRate(2, START_MS);
  const decisions: string[] = [];
  requestSlot(gate, quick, decisions, 'first');
  gate.admitWaiters(START_MS + 499);
  t.strictSame(decisions, []);
  t.equal(gate.computeAdmissionDelayMs(START_MS + 501), 0);
});

// Guards against a withdrawal that admits other requests as if it were the time of the withdrawn one:
// those past their deadline run, and the hold time of the server is overestimated from then on.
tap.test('a withdrawal admits waiting requests at the time of the withdrawal', async (t) => {
  const gate = new SlotGate({ slots: 20 });
  gate.limitRate(2, START_MS);
  const decisions: string[] = [];
  const withdraw = requestSlot(gate, quick, decisions, 'withdrawn');
  requestSlot(gate, { ...quick, deadlineMs: START_MS + 1_200 }, decisions, 'late');
  requestSlot(gate, quick, decisions, 'timely');
  withdraw(START_MS + 1_500);
  t.strictSame(decisions, ['late:DEADLINE_PASSED', 'timely:admitted']);
  t.equal(gate.estimateHoldMs(START_MS + 1_510), 10);
});

// Guards against requests that wait for the rate limit until their deadline, behind more urgent ones
// that arrived later, and end as unknown although they never ran.
tap.test('a request overtaken in the queue of a limited server is refused at once', async (t) => {
  const gate = new SlotGate({ slots: 20, policy: new ObjectivePolicy() });
  gate.limitRate(10, START_MS);
  const decisions: string[] = [];
  const usual = { ...quick, priority: 1, deadlineMs: START_MS + 1_000 };
  const urgent = { ...quick, priority: 0, deadlineMs: START_MS + 1_000 };
  const names = ['1', '2', '3', '4', '5', '6'];
  names.forEach((name) => requestSlot(gate, usual, decisions, `usual ${name}`));
  t.strictSame(decisions, [], 'six requests fit within the time that the first one has');
  names.forEach((name) => requestSlot(gate, urgent, decisions, `urgent ${name}`));
  gate.refuseLateWaiters(START_MS);
  t.strictSame(
    decisions,
    names.map((name) => `usual ${name}:DEADLINE_TOO_SHORT`),
  );
  t.equal(gate.waiting, names.length);
});

// Guards against direct calls of other nodes, which the rate limit does not see.
tap.test('no slot is granted to another node while the server names a limit', async (t) => {
  const gate = new SlotGate({ slots: 20 });
  gate.limitRate(100, START_MS);
  t.equal(gate.grant(1), 0);
  gate.limitRate(undefined, START_MS);
  t.equal(gate.grant(1), 1);
});

// Guards against a timer that runs all the time while every slot is in use.
tap.test('a request that waits for a slot only needs no timer', async (t) => {
  const gate = new SlotGate({ slots: 1 });
  gate.limitRate(1_000, START_MS);
  const decisions: string[] = [];
  const admit = (name: string) =>
    gate.admit(quick, START_MS + 100, (refusal) =>
      decisions.push(`${name}:${refusal ?? 'admitted'}`),
    );
  admit('first');
  admit('second');
  t.strictSame(decisions, ['first:admitted']);
  t.equal(gate.computeAdmissionDelayMs(START_MS + 100), undefined);
  gate.release(quick, 5, START_MS + 105);
  t.strictSame(decisions, ['first:admitted', 'second:admitted']);
});
