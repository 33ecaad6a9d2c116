/**
 * Runs the compiled tests with tap and prints `N passed, N failed`.
 *
 * Failures of tests listed in KNOWN-RED.txt are printed but do not fail the run. An entry starts
 * with `test: `, followed by the file and the test name as this script prints them on failure.
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';

import { Parser } from 'tap-parser';

const DEFAULT_JOBS = 4;
const DEFAULT_PATTERNS = [
  'src',
  'platform',
  'stand-ins',
  'bench',
  'fuzz',
  'scripts',
  'soak',
  'test',
].flatMap((folder) => [`dist/${folder}/**/test.js`, `dist/${folder}/**/*.test.js`]);

interface TestOutcome {
  name: string;
  ok: boolean;
}

/** Collects the outcome of each top-level test of a file, and of a file that fails as a whole. */
const collectOutcomes = (parser: Parser, path: string, outcomes: TestOutcome[]): void => {
  const children: string[] = [];
  parser.on('child', (child: Parser) => {
    children.push(child.name);
    const childPath = path === '' ? child.name : `${path} > ${child.name}`;
    collectOutcomes(child, childPath, outcomes);
  });
  parser.on('assert', (assertion) => {
    const depth = path === '' ? 0 : path.split(' > ').length;
    const isNamedTest = depth === 1;
    const isFile = depth === 0;
    if (isNamedTest) {
      outcomes.push({ name: `${path} > ${assertion.name}`, ok: assertion.ok || !!assertion.skip });
    } else if (isFile && !assertion.ok) {
      // For a file that exceeds its time limit, tap reports `timeout!` besides the failed file.
      const name = assertion.diag?.expired ?? assertion.name;
      const reported = outcomes.some((outcome) => !outcome.ok && outcome.name.startsWith(name));
      if (!reported) outcomes.push({ name, ok: false });
    }
  });
};

const readKnownFailures = (): Set<string> => {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()),
  );
};

const run = async (patterns: string[]): Promise<number> => {
  const outcomes: TestOutcome[] = [];
  const parser = new Parser();
  collectOutcomes(parser, '', outcomes);
  const jobs = process.env.TEST_JOBS ?? String(DEFAULT_JOBS);
  const tap = spawn(
    'node_modules/.bin/tap',
    ['run', '--reporter=tap', `--jobs=${jobs}`, ...patterns],
    { stdio: ['ignore', 'pipe', 'inherit'] },
  );
  tap.stdout.on('data', (chunk: Buffer) => {
    parser.write(chunk);
    process.stdout.write(chunk);
  });
  const exitCode = await new Promise<number>((resolve) => {
    tap.on('close', (code) => resolve(code ?? 1));
  });
  parser.end();

  const knownFailureNames = readKnownFailures();
  const failed = outcomes.filter((outcome) => !outcome.ok);
  const knownFailures = failed.filter((outcome) => knownFailureNames.has(outcome.name));
  const newFailures = failed.filter((outcome) => !knownFailureNames.has(outcome.name));
  const passedCount = outcomes.length - failed.length;
  process.stdout.write('\n');
  knownFailures.forEach((outcome) => process.stdout.write(`known red: ${outcome.name}\n`));
  newFailures.forEach((outcome) => process.stdout.write(`failed: ${outcome.name}\n`));
  // tap can fail without a failed test, for example when no file matches.
  const unexplainedCount = exitCode !== 0 && failed.length === 0 ? 1 : 0;
  if (unexplainedCount === 1) process.stdout.write(`failed: tap exited with code ${exitCode}\n`);
  const failedCount = newFailures.length + unexplainedCount;
  process.stdout.write(`${passedCount} passed, ${failedCount} failed\n`);
  return failedCount === 0 && passedCount > 0 ? 0 : 1;
};

const patterns = process.argv.slice(2);
process.exitCode = await run(patterns.length > 0 ? patterns : DEFAULT_PATTERNS);
