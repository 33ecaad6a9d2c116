import { countDroppedLines } from '../../log/index.js';
import type { MetricsRegistry } from '../../metrics/index.js';

const US_PER_S = 1_000_000;

/** Adds the metrics that every daemon has: memory, processor time, uptime and lost log lines. */
const registerProcessMetrics = (metrics: MetricsRegistry): void => {
  metrics.gauge('process_resident_bytes', () => process.memoryUsage.rss());
  metrics.gauge('process_cpu_seconds', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_S;
  });
  metrics.gauge('process_uptime_seconds', () => process.uptime());
  metrics.gauge('log_dropped_lines', countDroppedLines);
};

export default registerProcessMetrics;
