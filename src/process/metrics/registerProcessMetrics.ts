import { countDroppedLines } from '../log/index.js';
import type { MetricsRegistry } from './index.js';

const US_PER_SECOND = 1_000_000;

/**
 * Registers the metrics common to all processes: memory, CPU time, uptime and dropped log lines.
 *
 * @param metrics - registry of the process
 *
 * @example
 * registerProcessMetrics(metrics);
 */
const registerProcessMetrics = (metrics: MetricsRegistry): void => {
  metrics.gauge('process_resident_memory_bytes', () => process.memoryUsage.rss());
  metrics.gauge('process_heap_used_bytes', () => process.memoryUsage().heapUsed);
  metrics.gauge('process_heap_total_bytes', () => process.memoryUsage().heapTotal);
  // Buffers, which hold what was received and is not sent on yet.
  metrics.gauge('process_external_memory_bytes', () => process.memoryUsage().external);
  metrics.gauge('process_cpu_seconds_total', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / US_PER_SECOND;
  });
  metrics.gauge('process_uptime_seconds', () => process.uptime());
  metrics.gauge('log_dropped_lines', countDroppedLines);
};

export default registerProcessMetrics;
