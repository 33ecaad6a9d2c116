import fc from 'fast-check';
import tap from 'tap';

import { buildRecord } from '../../../../stand-ins/records/index.js';
import { EndpointDirectory } from './index.js';

import type { NodeRecord } from '../../../_generated/foxtailvane/v1/endpoints_pb.js';

const LEASE_MS = 3_000;

const buildState = (incarnation: bigint, sequence: number, nodeId = 'node-1'): NodeRecord =>
  buildRecord(nodeId, { incarnation, sequence });

tap.test('merge keeps the newest record in any order of arrival', async (t) => {
  const seed = Number(process.env.SEED ?? Date.now() % 2 ** 31);
  t.comment(`seed ${seed}`);
  const states = fc.array(
    fc.tuple(fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1, max: 9 })),
    {
      minLength: 1,
    },
  );
  const property = fc.property(states, (pairs) => {
    const directory = new EndpointDirectory();
    pairs.forEach(([incarnation, sequence]) =>
      directory.merge(buildState(BigInt(incarnation), sequence), 0),
    );
    const newest = Math.max(...pairs.map(([incarnation, sequence]) => incarnation * 10 + sequence));
    const merged = directory.find('node-1');
    return Number(merged?.incarnation) * 10 + Number(merged?.sequence) === newest;
  });
  fc.assert(property, { seed, numRuns: 500 });
  t.pass();
});

tap.test('a record expires unless its lease is renewed', async (t) => {
  const directory = new EndpointDirectory({ leaseMs: LEASE_MS });
  directory.merge(buildState(1n, 1, 'lost'), 0);
  directory.merge(buildState(1n, 1, 'kept'), 0);
  t.notOk(
    directory.merge(buildState(1n, 1, 'kept'), 2_000),
    'an equal record only renews the lease',
  );
  t.strictSame(directory.expire(LEASE_MS - 1), []);
  t.strictSame(
    directory.expire(LEASE_MS).map((record) => record.nodeId),
    ['lost'],
  );
  t.equal(directory.serversOf('service-000').length, 1);
  t.ok(directory.renew('kept', 4_000));
  t.notOk(directory.renew('lost', 4_000));
  t.strictSame(directory.expire(6_999), []);
});

tap.test('merge rejects an expired record that another process sends late', async (t) => {
  const directory = new EndpointDirectory({ leaseMs: LEASE_MS });
  directory.merge(buildState(5n, 3), 0);
  directory.expire(LEASE_MS);
  t.notOk(directory.merge(buildState(5n, 3), LEASE_MS + 1), 'the removed record');
  t.notOk(directory.merge(buildState(4n, 9), LEASE_MS + 1), 'an older incarnation');
  t.ok(directory.merge(buildState(5n, 4), LEASE_MS + 1), 'a newer record');
});

tap.test('removal of an older record leaves a newer one in place', async (t) => {
  const directory = new EndpointDirectory();
  directory.merge(buildState(5n, 4), 0);
  t.notOk(directory.remove('node-1', { incarnation: 5n, sequence: 3 }, 0));
  t.ok(directory.remove('node-1', { incarnation: 5n, sequence: 4 }, 0));
  t.equal(directory.find('node-1'), undefined);
});

tap.test('the record of this node neither expires nor is removed', async (t) => {
  const directory = new EndpointDirectory({ leaseMs: LEASE_MS, ownNodeId: 'node-1' });
  directory.merge(buildState(5n, 4), 0);
  t.strictSame(directory.expire(10 * LEASE_MS), []);
  t.notOk(directory.remove('node-1', { incarnation: 9n, sequence: 1 }, 0));
  t.equal(directory.records().length, 1);
});

tap.test('serversOf is cached until a record of the service changes', async (t) => {
  const directory = new EndpointDirectory();
  directory.merge(buildState(1n, 1, 'node-1'), 0);
  const entries = directory.serversOf('service-000');
  const other = buildRecord('node-2', { incarnation: 1n, sequence: 1, servers: [] });
  directory.merge(other, 0);
  t.equal(directory.serversOf('service-000'), entries, 'another service changed');
  directory.merge(buildState(1n, 2, 'node-1'), 0);
  t.not(directory.serversOf('service-000'), entries);
  t.equal(directory.serversOf('service-000')[0]?.node.sequence, 2);
  directory.merge({ ...buildState(1n, 3, 'node-1'), servers: [] }, 0);
  t.strictSame(directory.serversOf('service-000'), [], 'a service that is no longer announced');
  t.strictSame(directory.serversOf('unknown'), []);
});

tap.test('a change calls listeners with the node id and increments the revision', async (t) => {
  const directory = new EndpointDirectory({ leaseMs: LEASE_MS });
  const changed: string[] = [];
  const unsubscribe = directory.onChanged((nodeId) => changed.push(nodeId));
  directory.merge(buildState(1n, 1), 0);
  directory.merge(buildState(1n, 1), 1);
  t.equal(directory.revision, 1);
  directory.expire(LEASE_MS + 1);
  unsubscribe();
  directory.merge(buildState(1n, 2), 0);
  t.strictSame(changed, ['node-1', 'node-1']);
});
