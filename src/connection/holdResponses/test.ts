import tap from 'tap';

import { MetricsRegistry } from '../../process/metrics/index.js';
import ResponseHolder from './index.js';

const KIBIBYTE = 1_024;

// Guards against held responses that together take a node beyond its memory.
tap.test('one response and all together are bounded', (t) => {
  const metrics = new MetricsRegistry();
  const holder = new ResponseHolder({
    metrics,
    maxResponseBytes: 4 * KIBIBYTE,
    maxTotalBytes: 6 * KIBIBYTE,
  });
  const first = holder.open();
  t.equal(first.add(3 * KIBIBYTE), true);
  t.equal(first.add(KIBIBYTE), false, 'beyond the bound of a response');
  const second = holder.open();
  t.equal(second.add(3 * KIBIBYTE), false, 'beyond the bound of all');
  first.release();
  first.release();
  t.equal(second.add(3 * KIBIBYTE), true, 'released once');
  second.release();
  t.match(metrics.render(), /^held_response_bytes 0$/m);
  t.match(metrics.render(), /^responses_held 2$/m);
  t.match(metrics.render(), /^held_responses_beyond_bound 2$/m);
  t.end();
});

// Guards against parts of a few bytes, whose buffers take far more memory than their bytes.
tap.test('small parts count with the memory of their buffers', (t) => {
  const holder = new ResponseHolder({ metrics: new MetricsRegistry() });
  const space = holder.open();
  const parts = Array.from({ length: 10_000 }, () => space.add(1)).filter(Boolean);
  t.ok(parts.length < 2_100, `${parts.length} parts of one byte`);
  t.end();
});
