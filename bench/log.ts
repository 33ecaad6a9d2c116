/**
 * Measures the processor time of one log line that is dropped by its level or written to a file.
 *
 * Run: npm run build && node dist/bench/log.js
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setImmediate as nextTurn } from 'node:timers/promises';

import {
  LogLevel,
  closeLog,
  configureLog,
  countDroppedLines,
  createLogger,
} from '../src/process/log/index.js';

const ROUNDS = 7;
const LINES = 40_000;
/** Lines written per turn of the event loop, so that writing to the file keeps up. */
const LINES_PER_TURN = 500;
const US_TO_NS = 1_000;

const logger = createLogger('routing');

/** Logs the fields of the routing decision that is logged for each request. */
const logDecision = (index: number): void =>
  logger.debug(
    {
      requestId: `request-${index}`,
      version: 12,
      route: 'stock',
      service: 'order-desk',
      server: 'node-1/desk-1',
      considered: ['node-1/desk-1', 'node-2/desk-2'],
      reason: 'TWO_CHOICES',
      attempt: 0,
    },
    'server chosen',
  );

const measureRound = async (level: LogLevel, destination: string): Promise<number> => {
  await configureLog({ level, destination });
  const before = process.cpuUsage();
  for (let index = 0; index < LINES; index += 1) {
    logDecision(index);
    if (index % LINES_PER_TURN === 0) await nextTurn();
  }
  await closeLog();
  const { user, system } = process.cpuUsage(before);
  return ((user + system) * US_TO_NS) / LINES;
};

const measure = async (name: string, level: LogLevel, destination: string): Promise<void> => {
  const rounds: number[] = [];
  // The first round warms up the JIT compiler and is not counted.
  for (let round = 0; round <= ROUNDS; round += 1) {
    const costNs = await measureRound(level, destination);
    if (round > 0) rounds.push(costNs);
  }
  const sorted = rounds.toSorted((left, right) => left - right);
  const median = sorted[Math.floor(ROUNDS / 2)] ?? 0;
  const range = `${sorted[0]?.toFixed(0)} to ${sorted.at(-1)?.toFixed(0)}`;
  process.stdout.write(`${name}: median ${median.toFixed(0)} ns per line (${range})\n`);
};

const folder = mkdtempSync(join(tmpdir(), 'foxtailvane-log-'));
const file = join(folder, 'log');
process.stdout.write(`${ROUNDS} rounds of ${LINES} lines, processor time of all threads\n`);
await measure('dropped by level', LogLevel.Info, file);
await measure('written to a file', LogLevel.Debug, file);
process.stdout.write(`lines lost: ${countDroppedLines()}\n`);
rmSync(folder, { recursive: true });
