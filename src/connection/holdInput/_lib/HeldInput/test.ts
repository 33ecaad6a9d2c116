import tap from 'tap';

import HeldInput from './index.js';

const takeAll = (input: HeldInput): { bytes: string; receivedAtMs: number }[] => {
  const { first } = input;
  if (!first) return [];
  input.drop(first.bytes.length);
  return [{ bytes: first.bytes.toString(), receivedAtMs: first.receivedAtMs }, ...takeAll(input)];
};

// Guards against a node out of memory because each byte that a caller sends ahead is kept on its own.
tap.test('short segments that arrive together are joined', async (t) => {
  const input = new HeldInput();
  Array.from({ length: 65_536 }).forEach((_, index) => {
    input.append(Buffer.from('x'), index / 1_000);
  });
  const pieces = takeAll(input);
  t.ok(pieces.length < 50, `${pieces.length} pieces`);
  t.equal(pieces.map(({ bytes }) => bytes).join(''), 'x'.repeat(65_536));
});

// Guards against requests that count as received long before or after they were.
tap.test('segments that arrive one after the other keep their time', async (t) => {
  const input = new HeldInput();
  ['a', 'b', 'c', 'd'].forEach((text, index) => input.append(Buffer.from(text), index * 40));
  t.strictSame(takeAll(input), [
    { bytes: 'a', receivedAtMs: 0 },
    { bytes: 'bc', receivedAtMs: 40 },
    { bytes: 'd', receivedAtMs: 120 },
  ]);
});

// Guards against bytes that are lost or reordered between short and long segments.
tap.test('the order of short and long segments is kept', async (t) => {
  const input = new HeldInput();
  const long = 'y'.repeat(5_000);
  ['a', 'b', long, 'c', 'd', long, 'e'].forEach((text) => input.append(Buffer.from(text), 0));
  input.drop(1);
  t.equal(input.first?.bytes.toString(), 'b');
  input.append(Buffer.from('f'), 1);
  t.equal(
    takeAll(input)
      .map(({ bytes }) => bytes)
      .join(''),
    `b${long}cd${long}ef`,
  );
  t.equal(input.first, undefined);
  input.append(Buffer.from('g'), 2);
  input.append(Buffer.from('h'), 2);
  input.clear();
  t.equal(input.first, undefined);
});
