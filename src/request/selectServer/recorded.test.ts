import { createHash } from 'node:crypto';

import { create } from '@bufbuild/protobuf';
import tap from 'tap';

import {
  NodeRecordSchema,
  ServerSchema,
  ServerState,
} from '../../_generated/foxtailvane/v1/endpoints_pb.js';
import { createSeededRandom } from '../../../stand-ins/createSeededRandom/index.js';
import { FailureRateBreaker } from '../breakCircuit/index.js';
import { ServerObservations, formatServerKey, recordReport } from '../observeServers/index.js';
import { LeastDelaySelector } from './index.js';

const SEED = 20_261_204;
/** Digest of the choices of the version before placement by expected cost. */
const RECORDED = '957da9109b40b75fef69115c5638d7f12b082e6f540d8ed5f052267016302224';

// Guards against a change of placement for deployments whose settings do not ask for one.
tap.test('the choices by least delay are those that were recorded', async (t) => {
  const random = createSeededRandom(SEED);
  const observations = new ServerObservations();
  const entries = Array.from({ length: 12 }, (_, index) => {
    const server = create(ServerSchema, {
      serverId: `s${index}`,
      service: 'desk',
      slots: 6,
      state: ServerState.SERVING,
    });
    const dataCentre = index % 3 === 0 ? 'b' : 'a';
    return {
      server,
      node: create(NodeRecordSchema, { nodeId: `n${index}`, dataCentre, servers: [server] }),
    };
  });
  const selector = new LeastDelaySelector({
    dataCentre: 'a',
    nodeId: 'n1',
    observations,
    breaker: new FailureRateBreaker(),
  });
  const chosen = Array.from({ length: 4_000 }, (_, index) => {
    const nowMs = 1_000 + index * 7;
    const entry = selector.select(entries, { service: 'desk', nowMs, random })?.entry ?? entries[0];
    if (!entry) return '';
    const observation = observations.get(formatServerKey(entry), nowMs);
    observation.inFlight = Math.floor(random() * 4);
    if (random() < 0.05) observation.lastRefusalAtMs = nowMs;
    recordReport(
      observation,
      { load: random() * 1.5, holdMs: 50 + random() * 300 },
      observation.inFlight,
      nowMs,
    );
    return entry.server.serverId;
  });
  t.equal(createHash('sha256').update(chosen.join()).digest('hex'), RECORDED);
});
