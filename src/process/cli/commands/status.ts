import type { Command } from 'commander';
import { addConnectionOptions, withClient } from '../_lib/connectionOptions.js';
import formatTable from '../_lib/formatTable.js';
import { fetchResource } from '../_lib/fetchResource.js';

import type { StatusResponse } from '../../operatorApi/types.js';
import type { ConnectionOptions } from '../_lib/connectionOptions.js';
import type Terminal from '../_lib/Terminal.js';

interface StatusOptions extends ConnectionOptions {
  json?: boolean;
}

const HELP = `
Examples:
  $ foxtailvane status --control 10.0.0.5:7401 --token-file token
  $ foxtailvane status --control 10.0.0.5:7401 --token-file token --json`;

const formatAccepted = ({ accepted }: StatusResponse): string =>
  accepted
    ? `accepted version: ${accepted.version} by ${accepted.operator} at ${new Date(accepted.acceptedAtMs).toISOString()}, content ${accepted.contentHash}`
    : 'accepted version: none';

const formatConvergence = ({ convergence, nodes }: StatusResponse): string => {
  if (!convergence) return 'convergence: no version accepted';
  if (convergence.convergenceMs !== undefined) {
    return `convergence: complete on connected nodes after ${convergence.convergenceMs} ms`;
  }
  return `convergence: in progress, ${nodes.atAccepted} of ${nodes.total} nodes`;
};

const formatNodes = ({ nodes }: StatusResponse): string => {
  const versions = nodes.versions
    .map(({ version, nodes: count }) => `version ${version}: ${count}`)
    .join(', ');
  return `nodes: ${nodes.total}, connected ${nodes.connected}, at accepted version ${nodes.atAccepted}${versions === '' ? '' : ` (${versions})`}`;
};

const formatMembers = ({ members }: StatusResponse): string[] =>
  formatTable(
    ['control VM', 'address', 'role', 'voter', 'log index', 'reachable'],
    members.map((member) => [
      member.memberId,
      member.address,
      member.role,
      member.isVoter ? 'yes' : 'no',
      String(member.matchIndex),
      member.isReachable ? 'yes' : 'no',
    ]),
  );

const formatStatus = (status: StatusResponse): string[] => [
  formatAccepted(status),
  formatConvergence(status),
  formatNodes(status),
  `confirmed by a leader: ${status.isConfirmed ? 'yes' : 'no'}`,
  `leader: ${status.leader ?? 'none known'}`,
  ...(status.unreachableMembers.length > 0
    ? [`unreachable control VMs: ${status.unreachableMembers.join(', ')}`]
    : []),
  ...(status.nodes.disconnected.length > 0
    ? [`disconnected nodes: ${status.nodes.disconnected.join(', ')}`]
    : []),
  ...status.nodes.refusals.map(
    (node) =>
      `node ${node.nodeId} refused version ${node.refusedVersion}: ${node.refusalReason ?? ''}`,
  ),
  '',
  ...formatMembers(status),
];

const runStatus = async (options: StatusOptions, terminal: Terminal): Promise<void> => {
  const status = await withClient(options, (client) =>
    fetchResource<StatusResponse>(client, '/v1/status'),
  );
  if (options.json) terminal.print(JSON.stringify(status));
  else formatStatus(status).forEach((line) => terminal.print(line));
};

/**
 * Adds `foxtailvane status`.
 *
 * @param program - the command line
 * @param terminal - output of the command
 */
const addStatusCommand = (program: Command, terminal: Terminal): void => {
  const command = program
    .command('status')
    .description('show the accepted version, its convergence, and the control VMs')
    .option('--json', 'print the response as JSON')
    .addHelpText('after', HELP);
  addConnectionOptions(command).action((options: StatusOptions) => runStatus(options, terminal));
};

export default addStatusCommand;
