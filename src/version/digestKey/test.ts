import tap from 'tap';

import { MAX_KEY_LENGTH, digestKey } from './index.js';

// Guards against control VMs and nodes that would know the same key by different digests.
tap.test('the digest is the SHA-256 of the key', async (t) => {
  t.equal(
    digestKey('abc')?.toString('hex'),
    'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad',
  );
});

// Guards against callers who make nodes digest long input.
tap.test('what cannot be a key is not digested', async (t) => {
  ['', 'two words', 'line\nbreak', 'caf\u00e9', 'k'.repeat(MAX_KEY_LENGTH + 1)].forEach((key) =>
    t.equal(digestKey(key), undefined),
  );
});
