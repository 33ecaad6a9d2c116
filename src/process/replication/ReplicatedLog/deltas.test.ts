/** Replication of versions as deltas to the version before. */
import { ok } from 'neverthrow';
import { toBinary } from '@bufbuild/protobuf';
import tap from 'tap';

import type { Test } from 'tap';
import { buildSizedConfiguration } from '../../../../stand-ins/configurations/index.js';
import { ControlCluster, waitUntil } from '../../../../stand-ins/controlCluster/index.js';
import { AppendRequestSchema } from '../../../_generated/foxtailvane/v1/replication_pb.js';
import type {
  AppendRequest,
  AppendResponse,
} from '../../../_generated/foxtailvane/v1/replication_pb.js';
import ConnectPeerClient from '../../../connection/replication/ConnectPeerClient/index.js';
import { ApplyOutcome } from '../ControlLog/index.js';

const SEED = Number(process.env.SEED ?? 1);
const ROUTE_COUNT = 1_690;

/** What a test does to the append requests and their responses. */
interface AppendFilter {
  alterRequest?: (request: AppendRequest) => AppendRequest;
  alterResponse?: (response: AppendResponse) => AppendResponse;
}

class FilteredPeerClient extends ConnectPeerClient {
  readonly #filter: AppendFilter;

  constructor(address: string, filter: AppendFilter) {
    super(address);
    this.#filter = filter;
  }

  override async append(request: AppendRequest, timeoutMs: number) {
    const { alterRequest, alterResponse } = this.#filter;
    const response = await super.append(alterRequest?.(request) ?? request, timeoutMs);
    return response.andThen((value) => ok(alterResponse?.(value) ?? value));
  }
}

const startCluster = async (t: Test, filter: AppendFilter): Promise<ControlCluster> => {
  t.comment(`seed ${SEED}`);
  const cluster = await ControlCluster.start({
    seed: SEED,
    memberCount: 3,
    createClient: (address) => new FilteredPeerClient(address, filter),
  });
  t.teardown(() => cluster.close());
  return cluster;
};

/** Has three versions accepted, each of which changes one route, and waits until all members hold them. */
const acceptThreeVersions = async (t: Test, cluster: ControlCluster): Promise<void> => {
  const accept = async (version: number): Promise<void> => {
    const { outcome } = await cluster.log('c1').propose(
      {
        requestId: `request-${version}`,
        operator: 'operator-1',
        configuration: buildSizedConfiguration(version, {
          routes: ROUTE_COUNT,
          firstTimeoutMs: 400 + version,
        }),
        baseVersion: version - 1,
      },
      Date.now(),
    );
    t.equal(outcome, ApplyOutcome.Accepted);
  };
  await accept(1);
  await accept(2);
  await accept(3);
  const expected = Buffer.from(
    buildSizedConfiguration(3, { routes: ROUTE_COUNT, firstTimeoutMs: 403 }).contentHash,
  ).toString('hex');
  await waitUntil(
    () =>
      cluster
        .memberIds()
        .every((id) => cluster.log(id).committed()?.holder.contentHash === expected),
    'all members hold version 3 with its content',
  );
};

// Guards against a change of one route that costs a whole configuration per control VM.
tap.test('a change of one route among many is replicated as a small delta', async (t) => {
  const sizesByVersion = new Map<number, number[]>();
  const cluster = await startCluster(t, {
    alterRequest: (request) => {
      const deltas = request.entries.filter(({ delta }) => delta);
      const versions = deltas.flatMap(({ delta }) => delta?.head?.version ?? []);
      // A slow follower may get the first version, which is whole, in the same request.
      const bytes = toBinary(AppendRequestSchema, { ...request, entries: deltas }).length;
      versions.forEach((version) =>
        sizesByVersion.set(version, [...(sizesByVersion.get(version) ?? []), bytes]),
      );
      return request;
    },
  });
  await acceptThreeVersions(t, cluster);
  t.same([...sizesByVersion.keys()], [2, 3], 'the first version has no base');
  t.ok([...sizesByVersion.values()].flat().every((bytes) => bytes < 1_500));
});

// Guards against a follower of the build before, which ignores deltas, during a rolling replacement.
tap.test('a follower that does not announce deltas receives whole entries', async (t) => {
  let deltaCount = 0;
  const cluster = await startCluster(t, {
    alterRequest: (request) => {
      deltaCount += request.entries.filter(({ delta }) => delta).length;
      return request;
    },
    alterResponse: (response) => ({ ...response, acceptsDeltas: false }),
  });
  await acceptThreeVersions(t, cluster);
  t.equal(deltaCount, 0);
});

// Guards against a follower that stores content which the leader did not send, or that stays behind.
tap.test('a delta that does not lead to its digest is followed by the whole entry', async (t) => {
  let alteredCount = 0;
  const cluster = await startCluster(t, {
    alterRequest: (request) => ({
      ...request,
      entries: request.entries.map((entry) => {
        if (!entry.delta) return entry;
        alteredCount += 1;
        return { ...entry, delta: { ...entry.delta, digest: new Uint8Array(32) } };
      }),
    }),
  });
  await acceptThreeVersions(t, cluster);
  t.ok(alteredCount > 0);
});

// Guards against a restarted follower whose log has the base on disk only.
tap.test('a restarted follower applies deltas to the entries of its disk', async (t) => {
  const cluster = await startCluster(t, {});
  await acceptThreeVersions(t, cluster);
  const follower = cluster.memberIds().find((id) => id !== cluster.findLeader()) ?? '';
  await cluster.stopMember(follower);
  await cluster.startMember(follower);
  const configuration = buildSizedConfiguration(4, { routes: ROUTE_COUNT, firstTimeoutMs: 9 });
  const change = { requestId: 'request-4', operator: 'operator-1', configuration, baseVersion: 3 };
  const { outcome } = await cluster.log(follower).propose(change, Date.now());
  t.equal(outcome, ApplyOutcome.Accepted);
  await waitUntil(
    () => cluster.log(follower).committed()?.holder.version === 4,
    'the follower holds version 4',
  );
});
