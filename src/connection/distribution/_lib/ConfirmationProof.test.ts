import tap from 'tap';

import { ConfirmationProof } from './ConfirmationProof.js';

import type { Instant } from './ConfirmationProof.js';

const at = (steadyMs: number, wallStepMs = 0): Instant => ({
  steadyMs,
  wallMs: 1_000_000 + steadyMs + wallStepMs,
});

const answer = (answeredRenewal: number, changes: object = {}) => ({
  ...{ version: 3, isConfirmed: true, answeredRenewal },
  ...changes,
});

/** A proof whose last answered renewal was sent at 1,000 ms. */
const createProof = (): ConfirmationProof => {
  const proof = new ConfirmationProof();
  proof.startStream();
  proof.recordAnswer(answer(proof.recordSent(at(1_000))), 3);
  return proof;
};

tap.test('the age counts from the sending of the renewal that was answered', async (t) => {
  const proof = createProof();
  t.equal(proof.computeAgeMs(at(1_400)), 400);
  proof.recordSent(at(1_300));
  const sequence = proof.recordSent(at(1_600));
  proof.recordAnswer(answer(sequence), 3);
  t.equal(proof.computeAgeMs(at(1_900)), 300);
});

// Guards against keys that a node which was suspended goes on to accept: the heartbeats in its
// buffers answer what it sent before.
tap.test('heartbeats that waited in a buffer do not renew the proof', async (t) => {
  const proof = createProof();
  const sequence = proof.recordSent(at(1_300));
  const wokenAt = at(9_000);
  proof.recordAnswer(answer(1), 3);
  proof.recordAnswer(answer(sequence), 3);
  t.equal(proof.computeAgeMs(wokenAt), 7_700);
});

tap.test('a suspension that only the time of day shows counts', async (t) => {
  t.equal(createProof().computeAgeMs(at(1_100, 7_000)), 7_100);
});

tap.test('a time of day that is set back does not extend the proof', async (t) => {
  t.equal(createProof().computeAgeMs(at(6_000, -60_000)), 5_000);
});

tap.test('a time of day that is set forward ends the proof until the next answer', async (t) => {
  const proof = createProof();
  t.ok(proof.computeAgeMs(at(1_200, 60_000)) > 60_000);
  proof.recordAnswer(answer(proof.recordSent(at(1_300, 60_000))), 3);
  t.equal(proof.computeAgeMs(at(1_400, 60_000)), 100);
});

// Guards against a proof by a control VM without a leader, and for a version that is not here yet.
tap.test('only a confirmed answer for a version that is in force proves anything', async (t) => {
  const proof = createProof();
  const sequence = proof.recordSent(at(2_000));
  proof.recordAnswer(answer(sequence, { isConfirmed: false }), 3);
  proof.recordAnswer(answer(sequence, { version: 4 }), 3);
  proof.recordAnswer(answer(0), 3);
  proof.recordAnswer(answer(77), 3);
  t.equal(proof.computeAgeMs(at(2_100)), 1_100);
  proof.recordAnswer(answer(sequence, { version: 4 }), 4);
  t.equal(proof.computeAgeMs(at(2_100)), 100);
});

tap.test('an answer to a renewal of a former stream proves nothing', async (t) => {
  const proof = createProof();
  const sequence = proof.recordSent(at(2_000));
  proof.startStream();
  proof.recordAnswer(answer(sequence), 3);
  t.equal(proof.computeAgeMs(at(2_100)), 1_100);
  t.equal(new ConfirmationProof().computeAgeMs(at(0)), Infinity);
});
