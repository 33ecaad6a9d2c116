import { connect } from 'node:net';

import fc from 'fast-check';
import tap from 'tap';

import { startCluster, startDeskServers, waitUntilAnswered } from '../../test/_lib/proof.js';
import { createEditedText, FUZZ_RUNS, runFuzz } from '../_lib/runFuzz.js';

import type { TestCluster } from '../../stand-ins/cluster/index.js';

// Each input is sent to every listener and takes up to WAIT_MS, so that CI has time for fewer runs.
const RUNS = Math.ceil(FUZZ_RUNS / 2);
const WAIT_MS = 30;

const MESSAGES = [
  'GET /stock HTTP/1.1\r\nhost: a\r\nfoxtailvane-deadline-ms: 100\r\n\r\n',
  'POST /orders HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n',
  'POST /orders HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nidempotency-key: k\r\n\r\nhello',
  'PUT /v1/servers/s1 HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}',
  'POST /v1/versions/2 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nkind\n',
  'GET /v1/status HTTP/1.1\r\nhost: a\r\nauthorization: Bearer x\r\n\r\n',
  // Connection preface of HTTP/2, an empty SETTINGS frame and a HEADERS frame.
  'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0\0\0\x05\x01\x05\0\0\0\x01\x82\x84\x86\x41\x01',
];
const TOKENS = [
  '\r\n',
  ':',
  '\0',
  'content-length: 1',
  'transfer-encoding: chunked',
  'host:',
  '%00',
];

const bytes: fc.Arbitrary<Buffer> = fc.oneof(
  {
    weight: 3,
    arbitrary: createEditedText(MESSAGES, TOKENS).map((text) => Buffer.from(text, 'latin1')),
  },
  { weight: 1, arbitrary: fc.uint8Array({ maxLength: 400 }).map((array) => Buffer.from(array)) },
);

/** Sends bytes and waits until the connection is closed, for at most WAIT_MS. */
const sendBytes = (address: string, input: Buffer): Promise<void> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':') as [string, string];
    const socket = connect({ host, port: Number(port) });
    const timer = setTimeout(() => socket.destroy(), WAIT_MS);
    socket.once('connect', () => socket.end(input));
    socket.on('data', () => undefined);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') reject(error);
    });
    socket.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });

const stripScheme = (url: string): string => url.replace('http://', '');

const listListeners = (cluster: TestCluster): string[] => {
  const [control] = cluster.controls;
  const [node] = cluster.nodes;
  return [
    control!.address,
    stripScheme(control!.operatorUrl),
    stripScheme(node!.url),
    stripScheme(node!.localUrl),
    node!.forwardListen,
    node!.peerListen,
  ];
};

const readState = async (cluster: TestCluster) => {
  const [control] = cluster.controls;
  const { accepted, members, nodes } = await control!.operator.readStatus();
  const servers =
    await control!.operator.read<{ serverId: string; state: string }[]>('/v1/servers');
  return {
    accepted,
    voters: members.map((member) => [member.memberId, member.isVoter, member.diskIdentity]),
    versions: nodes.list.map((node) => [node.nodeId, node.version]),
    servers: servers.map((server) => [server.serverId, server.state]).sort(),
    pids: [control!.process.pid, cluster.nodes[0]!.process.pid],
  };
};

tap.test(
  'arbitrary bytes sent to a listener neither stop a process nor change its state',
  async (t) => {
    const cluster = await startCluster(t, { dataCentres: ['dc-1'] });
    await startDeskServers(cluster);
    const before = await readState(cluster);
    const listeners = listListeners(cluster);
    await runFuzz(
      'listeners',
      fc.asyncProperty(bytes, async (input) => {
        await Promise.all(listeners.map((address) => sendBytes(address, input)));
        return [...cluster.controls, ...cluster.nodes].every((member) => member.process.isRunning);
      }),
      { runs: RUNS },
    );
    t.strictSame(await readState(cluster), before);
    await waitUntilAnswered(cluster.nodes, { paths: ['/stock', '/ledger'] });
  },
);
