import tap from 'tap';

import createKeyCheck from './createKeyCheck.js';
import { RefusalReason } from './writeRefusal.js';

const request = { version: 1, workspace: { name: 'oak' }, keyId: 'k', proofLeftMs: 500 };

/** A node that the control VMs cannot reach. */
const createContext = () => {
  const state = { nowMs: 1_000, leftMs: 0, isAfterPause: false };
  const context = {
    current: () => undefined,
    readKeyProofLeftMs: () => state.leftMs,
    isAfterPause: () => state.isAfterPause,
    getNowMs: () => state.nowMs,
  };
  return { state, context };
};

tap.test('the proof of the entry node admits a request for as long as it lasts', async (t) => {
  const { state, context } = createContext();
  const findFault = createKeyCheck(context, request);
  t.equal(findFault?.(), undefined);
  state.nowMs += 500;
  t.equal(findFault?.(), RefusalReason.KeyUnconfirmed, 'waited for a slot for too long');
  t.equal(createKeyCheck(context, { version: 1 }), undefined, 'no key, no check');
});

// Guards against a request that waited in the buffers of a suspended node, for an unknown time.
tap.test('after a pause only the own proof admits a request', async (t) => {
  const { state, context } = createContext();
  const waiting = createKeyCheck(context, request);
  state.isAfterPause = true;
  const read = createKeyCheck(context, request);
  t.equal(waiting?.(), RefusalReason.KeyUnconfirmed);
  t.equal(read?.(), RefusalReason.KeyUnconfirmed);
  state.leftMs = 1;
  t.equal(read?.(), undefined);
  Object.assign(state, { leftMs: 0, isAfterPause: false });
  t.equal(read?.(), RefusalReason.KeyUnconfirmed, 'it was old when it was read');
});
