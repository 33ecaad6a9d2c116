/** Mutual TLS between real processes on all links: refuses plain text, reloads without a restart. */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';

import tap from 'tap';
import { request } from 'undici';

import { TestAuthority, writeTlsFiles } from '../../stand-ins/certificates/index.js';
import { createOrderDeskSheet } from '../../stand-ins/createSheet/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';
import { startCluster, startDeskServers, waitUntilAnswered } from '../_lib/proof.js';

import type { SectionOwner } from '../../stand-ins/cluster/index.js';

const NODE_COUNT = 3;

const writeTls = (authority: TestAuthority, owner: SectionOwner) => {
  const { name, role, hosts, folder } = owner;
  const tlsFolder = join(folder, `tls-${name}`);
  mkdirSync(tlsFolder, { recursive: true });
  const issued = authority.issue({ name, role, addresses: hosts });
  const files = writeTlsFiles(tlsFolder, issued, authority.cert);
  return { tls: { key: files.key, certificate: files.certificate, ca: files.ca } };
};

tap.test(
  'processes with [tls] settings authenticate each other, also after a reload',
  async (t) => {
    const authority = new TestAuthority();
    const owners: SectionOwner[] = [];
    const cluster = await startCluster(t, {
      createSections: (owner) => {
        owners.push(owner);
        return writeTls(authority, owner);
      },
    });
    const control = cluster.controls[0]!;
    const applyAndWait = async (version: number): Promise<void> => {
      const { outcome } = await control.operator.apply(version, createOrderDeskSheet());
      t.equal(outcome, 'ACCEPTED');
      await waitFor(`version ${version} on all nodes`, async () => {
        const { nodes } = await control.operator.readStatus();
        return nodes.list.filter((node) => node.version === version).length === NODE_COUNT;
      });
    };
    await startDeskServers(cluster);
    await applyAndWait(2);

    await waitUntilAnswered(cluster.nodes);
    const plainTextResult = await request(
      `http://${control.address}/foxtailvane.v1.DistributionService/Attach`,
      {
        method: 'POST',
      },
    ).catch((error: Error) => error);
    t.ok(plainTextResult instanceof Error, 'a listener with TLS refuses plain text');

    owners.forEach((owner) => writeTls(authority, owner));
    [...cluster.controls, ...cluster.nodes].forEach((one) => one.process.reload());
    await waitFor('reloaded TLS material', () =>
      cluster.controls.every((one) => one.process.readLog().includes('TLS material reloaded')),
    );
    await applyAndWait(3);
    await waitUntilAnswered(cluster.nodes);
  },
);
