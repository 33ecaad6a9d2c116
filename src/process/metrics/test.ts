import tap from 'tap';

import { MetricsRegistry } from './index.js';
import registerProcessMetrics from './registerProcessMetrics.js';

tap.test('looking up the same series returns the same counter', async (t) => {
  const metrics = new MetricsRegistry();
  metrics.counter('sent_bytes', { kind: 'delta' }).value += 5;
  metrics.counter('sent_bytes', { kind: 'delta' }).value += 2;
  metrics.counter('sent_bytes', { kind: 'snapshot' }).value += 1;
  t.match(metrics.render(), /^sent_bytes\{kind="delta"\} 7\nsent_bytes\{kind="snapshot"\} 1\n/);
});

tap.test('label values are escaped', async (t) => {
  const metrics = new MetricsRegistry();
  metrics.counter('refused', { reason: 'a"b\\c\nd' }).value = 1;
  t.equal(metrics.render(), 'refused{reason="a\\"b\\\\c\\nd"} 1\n');
});

tap.test('gauges are read on rendering, and histograms are rendered as percentiles', async (t) => {
  const metrics = new MetricsRegistry();
  let value = 1;
  metrics.gauge('connected_nodes', () => value);
  value = 9;
  const histogram = metrics.histogram('forward_us');
  [100, 200, 300].forEach((us) => histogram.recordValue(us));
  const text = metrics.render();
  t.match(text, /^connected_nodes 9$/m);
  t.match(text, /^forward_us\{quantile="0.5"\} 200$/m);
  t.match(text, /^forward_us_count 3$/m);
});

tap.test('process metrics include memory, CPU time and dropped log lines', async (t) => {
  const metrics = new MetricsRegistry();
  registerProcessMetrics(metrics);
  const text = metrics.render();
  t.match(text, /^process_resident_memory_bytes [1-9]\d+$/m);
  t.match(text, /^process_heap_used_bytes [1-9]\d+$/m);
  t.match(text, /^process_heap_total_bytes [1-9]\d+$/m);
  t.match(text, /^process_external_memory_bytes [1-9]\d+$/m);
  t.match(text, /^process_cpu_seconds_total \d/m);
  t.match(text, /^log_dropped_lines 0$/m);
});
