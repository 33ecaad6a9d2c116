/**
 * Demonstrates the whole system on one machine: three control processes, two nodes per data centre,
 * each with a stand-in backend server, a sheet applied with the command line, and requests.
 *
 * Run: npm run demo
 */
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { request } from 'undici';

import { TestCluster } from '../stand-ins/cluster/index.js';

import type { NodeMember } from '../stand-ins/cluster/index.js';

const VERSION = 1;
const DATA_CENTRES = ['dc-east', 'dc-west', 'dc-north'];
const SERVICES = ['order-desk', 'harvest-ledger'];
const REQUESTS_PER_NODE = 50;
/** Time limit of the demo; without it, a process that hangs would block the demo forever. */
const TIME_LIMIT_MS = 55_000;
const NOT_RUN = 'not-run';

const SHEET = `kind,name,host,path_prefix,methods,service,weight_percent,idempotent,timeout_ms,max_attempts,slots,connections
service,order-desk,,,,,,,2000,,20,130
service,harvest-ledger,,,,,,,2000,,20,130
route,stock,*,/stock,GET,order-desk,100,yes,2000,3,,
route,bundle-orders,*,/orders,POST,order-desk,100,no,2000,1,,
route,ledger,*,/ledger,GET,harvest-ledger,100,yes,2000,3,,
`;

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

interface CommandOutcome {
  exitCode: number;
  stdout: string;
}

/** Runs the command line program as an operator would. */
const runCommand = (args: string[]): Promise<CommandOutcome> =>
  new Promise((resolve, reject) => {
    print(`$ foxtailvane ${args.join(' ')}`);
    const child = spawn(process.execPath, ['dist/src/process/cli/main.js', ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.once('error', reject);
    child.once('close', (code) => {
      resolve({ exitCode: code ?? 1, stdout: Buffer.concat(chunks).toString().trim() });
    });
  });

const runAndPrint = async (args: string[]): Promise<void> => {
  const { exitCode, stdout } = await runCommand(args);
  stdout.split('\n').forEach((line) => print(`  ${line}`));
  if (exitCode !== 0) throw new Error(`foxtailvane ${args[0]} ended with exit code ${exitCode}`);
};

interface RequestCounts {
  sent: number;
  answered: number;
  refused: number;
  unknown: number;
}

enum RequestResult {
  Answered = 'answered',
  Refused = 'refused',
  Unknown = 'unknown',
}

const REQUESTS = [
  { method: 'GET', path: '/stock/7' },
  { method: 'GET', path: '/ledger/grade' },
  { method: 'POST', path: '/orders' },
] as const;

const sendRequest = async (node: NodeMember, index: number): Promise<RequestResult> => {
  const { method, path } = REQUESTS[index % REQUESTS.length] ?? REQUESTS[0];
  try {
    const response = await request(`${node.url}${path}`, {
      method,
      headers: { 'x-request-id': `${node.name}-${index}` },
      body: method === 'POST' ? 'one bundle' : null,
    });
    await response.body.dump();
    if (response.statusCode === 200) return RequestResult.Answered;
    const outcome = response.headers['foxtailvane-outcome'];
    return outcome === NOT_RUN ? RequestResult.Refused : RequestResult.Unknown;
  } catch {
    return RequestResult.Unknown;
  }
};

/** Sends requests sequentially through one node. */
const sendThroughNode = async (node: NodeMember): Promise<RequestResult[]> => {
  const ends: RequestResult[] = [];
  for (let index = 0; index < REQUESTS_PER_NODE; index += 1) {
    ends.push(await sendRequest(node, index));
  }
  return ends;
};

const sendRequests = async (cluster: TestCluster): Promise<RequestCounts> => {
  const ends = (await Promise.all(cluster.nodes.map(sendThroughNode))).flat();
  const count = (wanted: RequestResult): number => ends.filter((end) => end === wanted).length;
  return {
    sent: ends.length,
    answered: count(RequestResult.Answered),
    refused: count(RequestResult.Refused),
    unknown: count(RequestResult.Unknown),
  };
};

/** Returns the total bytes sent by the control processes, summed over the message kinds. */
const countControlBytes = async (cluster: TestCluster): Promise<number> => {
  const metrics = await Promise.all(
    cluster.controls.map((control) => control.operator.readMetrics()),
  );
  return metrics
    .flatMap((series) => [...series])
    .filter(([name]) => name.startsWith('distribution_sent_bytes'))
    .reduce((sum, [, bytes]) => sum + bytes, 0);
};

const startBackends = async (cluster: TestCluster): Promise<void> => {
  await Promise.all(
    cluster.nodes.map((node, index) => {
      const service = SERVICES[index % SERVICES.length] ?? '';
      return cluster.startBackend(node, { serverId: `${service}-${node.name}`, service });
    }),
  );
  await Promise.all(
    SERVICES.map((service) => cluster.waitForServers(service, DATA_CENTRES.length)),
  );
};

const runDemo = async (cluster: TestCluster): Promise<void> => {
  await cluster.start();
  print(`${cluster.controls.length} control processes and ${cluster.nodes.length} nodes started`);
  await startBackends(cluster);
  print(`${cluster.backends.length} backend servers announced`);

  const sheetFile = join(cluster.folder, 'sheet.csv');
  writeFileSync(sheetFile, SHEET);
  const connection = [
    ...cluster.controls.flatMap((control) => ['--control', control.operatorAddress]),
    ...['--token-file', join(cluster.folder, 'token')],
  ];
  await runAndPrint(['sheet', 'check', sheetFile]);
  await runAndPrint(['apply', sheetFile, '--version', String(VERSION), ...connection]);
  const status = await cluster.waitForVersion(VERSION);
  const counts = await sendRequests(cluster);
  await runAndPrint(['status', ...connection]);
  await runAndPrint(['explain', '--host', 'any.example', '--path', '/stock/7', ...connection]);

  const acceptedAtMs = status.accepted?.acceptedAtMs ?? 0;
  const inForce = status.nodes.list.filter((node) => node.version === VERSION);
  const lastInForceAtMs = Math.max(...inForce.map((node) => node.inForceAtMs));
  print('');
  print(`version: ${status.accepted?.version ?? 0}`);
  print(`nodes in force: ${inForce.length} of ${status.nodes.total}`);
  print(`convergence time: ${Math.round(lastInForceAtMs - acceptedAtMs)} ms`);
  print(
    `requests: ${counts.sent} sent, ${counts.answered} answered, ${counts.refused} refused, ` +
      `${counts.unknown} unknown`,
  );
  print(`control bytes sent: ${await countControlBytes(cluster)}`);
  if (inForce.length !== cluster.nodes.length) throw new Error('not every node has the version');
  if (counts.answered !== counts.sent) throw new Error('not every request was answered');
};

const startedAtMs = Date.now();
const cluster = new TestCluster({ dataCentres: DATA_CENTRES, nodesPerDataCentre: 2 });
// Thrown outside of a promise, the error ends the process with a non-zero exit code; the cluster
// kills its processes on exit.
const timeLimit = setTimeout(() => {
  throw new Error(`the demo did not end within ${TIME_LIMIT_MS} ms`);
}, TIME_LIMIT_MS);
try {
  await runDemo(cluster);
  print(`done in ${((Date.now() - startedAtMs) / 1_000).toFixed(1)} s`);
} catch (error) {
  process.stderr.write(`demo failed: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
} finally {
  clearTimeout(timeLimit);
  await cluster.stop();
}
