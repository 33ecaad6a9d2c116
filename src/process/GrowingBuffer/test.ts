import tap from 'tap';

import GrowingBuffer from './index.js';

// Guards against parts that are lost or reordered as the buffer grows, or shared after they are taken.
tap.test('parts of any length are joined in order', async (t) => {
  const buffer = new GrowingBuffer();
  t.equal(buffer.take().length, 0);
  const parts = Array.from({ length: 300 }, (_, index) => Buffer.alloc(index % 40, index));
  parts.forEach((part) => buffer.append(part));
  const expected = Buffer.concat(parts);
  t.equal(buffer.sizeBytes, expected.length);
  const taken = buffer.take();
  t.equal(buffer.sizeBytes, 0);
  buffer.append(Buffer.from('later'));
  t.ok(taken.equals(expected));
  t.equal(buffer.take().toString(), 'later');
});

// Guards against bytes that are returned twice, skipped, or overwritten after they were taken in pieces.
tap.test('bytes are taken in pieces while parts arrive', async (t) => {
  const buffer = new GrowingBuffer();
  const parts = Array.from({ length: 400 }, (_, index) => Buffer.alloc(index % 50, index));
  const pieces = parts.flatMap((part, index) => {
    buffer.append(part);
    return index % 3 === 0 ? [buffer.take(index % 70)] : [];
  });
  const kept = buffer.sizeBytes;
  const rest = buffer.take();
  t.equal(rest.length, kept);
  t.ok(Buffer.concat([...pieces, rest]).equals(Buffer.concat(parts)));
  t.equal(buffer.sizeBytes, 0);
});
