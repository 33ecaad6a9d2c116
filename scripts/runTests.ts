/**
 * Runs the compiled tests with tap and prints `N passed, N failed`.
 *
 * Failures of tests listed in KNOWN-RED.txt are printed but do not fail the run. An entry starts
 * with `test: `, followed by the file and the test name as this script prints them on failure.
 */
import { spawn } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

import { Parser } from 'tap-parser';

const DEFAULT_JOBS = 4;
const TEST_FOLDERS = ['src', 'platform', 'stand-ins', 'bench', 'fuzz', 'scripts', 'soak', 'test'];

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

const listTestFiles = (): string[] =>
  TEST_FOLDERS.flatMap((folder) =>
    readdirSync(join('dist', folder), { recursive: true, encoding: 'utf8' })
      .filter((path) => /(^|[/.])test\.js$/.test(path))
      .map((path) => join('dist', folder, path)),
  );

interface TestRun {
  exitCode: number;
  outcomes: TestOutcome[];
}

interface TapRun extends TestRun {
  startedFiles: Set<string>;
}

const runTap = async (patterns: string[]): Promise<TapRun> => {
  const outcomes: TestOutcome[] = [];
  const startedFiles = new Set<string>();
  const parser = new Parser();
  collectOutcomes(parser, '', outcomes);
  parser.on('child', (child: Parser) => startedFiles.add(child.name));
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
  return { exitCode, outcomes, startedFiles };
};

/**
 * Runs all test files, with a second call of tap for those that it did not start: tap starts no
 * further file after one exceeds its time limit.
 */
const runAllFiles = async (): Promise<TestRun> => {
  const files = listTestFiles();
  const first = await runTap(files);
  const remaining = files.filter((file) => !first.startedFiles.has(file));
  if (remaining.length === 0) return first;
  process.stdout.write(`# files that tap did not start: ${remaining.join(' ')}\n`);
  const second = await runTap(remaining);
  const notRun = remaining.filter((file) => !second.startedFiles.has(file));
  return {
    exitCode: Math.max(first.exitCode, second.exitCode),
    outcomes: [
      ...first.outcomes,
      ...second.outcomes,
      ...notRun.map((file) => ({ name: `${file} > not run`, ok: false })),
    ],
  };
};

const run = async (patterns: string[]): Promise<number> => {
  const { exitCode, outcomes } = await (patterns.length > 0 ? runTap(patterns) : runAllFiles());

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

process.exitCode = await run(process.argv.slice(2));
