import tap from 'tap';

import { digestBody, fingerprintRequest } from './index.js';

const identity = {
  method: 'POST',
  host: 'Desk.example',
  path: '/orders?page=1',
  bodyDigest: digestBody(Buffer.from('bundle')),
  callerService: 'desk',
};

// Guards against repeats that are not recognized, and against refusing other requests with them.
tap.test('a request is identified by method, host, path and body, and by its caller', async (t) => {
  const [shared, ofCaller, exact] = fingerprintRequest(identity);
  t.strictSame(fingerprintRequest({ ...identity, host: 'desk.example' }), [
    shared,
    ofCaller,
    exact,
  ]);
  const ofOther = fingerprintRequest({ ...identity, callerService: 'ledger' });
  t.equal(ofOther[0], shared);
  t.not(ofOther[1], ofCaller);
  t.not(ofOther[2], exact);
  const withOtherBody = fingerprintRequest({
    ...identity,
    bodyDigest: digestBody(Buffer.from('rods')),
  });
  t.strictSame(withOtherBody.slice(0, 2), [shared, ofCaller]);
  t.not(withOtherBody[2], exact);
  t.strictSame(fingerprintRequest({ ...identity, bodyDigest: undefined }), [shared, ofCaller]);
  [{ method: 'PUT' }, { host: 'x.example' }, { path: '/orders' }].forEach((change) =>
    t.not(fingerprintRequest({ ...identity, ...change })[0], shared),
  );
});
