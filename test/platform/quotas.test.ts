/** Quotas of workspaces while no control VM counts, with the platform programs as separate processes. */
import { setTimeout as delay } from 'node:timers/promises';

import tap from 'tap';
import type { Test } from 'tap';

import {
  PlatformCluster,
  createConfigurationDocument,
  sendAttempt,
} from '../../stand-ins/platform/index.js';
import waitFor from '../../stand-ins/waitFor/index.js';

const CONTROL_IPS = [1, 2, 3].map((host) => `127.0.84.${host}`);
const NODE_IPS = Array.from({ length: 12 }, (_, index) => `127.0.84.${index + 11}`);
const SERVICE = 'desk';
const HTTP_OK = 200;
const WINDOW_MS = 5_000;
const BOUNDS = { quota_window: '5s', quota_overage: 0.1, quota_slack: 20 };
const USUAL_SHARE = 0.625;
const HOT_FACTOR = 7.5;
const USUAL_MS = 6_000;
const HOT_MS = 6_500;
/** Part of the requests within a quota that is to be served. */
const MIN_SERVED = 0.95;

interface Tenant {
  name: string;
  ratePerSecond: number;
  isHot: boolean;
}

/** The first has a small quota, which is not divided while it is little used. */
const TENANTS: Tenant[] = [
  { name: 'oak', ratePerSecond: 15, isHot: true },
  { name: 'ash', ratePerSecond: 40, isHot: true },
  { name: 'elm', ratePerSecond: 15, isHot: false },
];

interface Sent {
  tenant: string;
  atMs: number;
  status: number;
}

const createDocument = (): object => {
  const document = createConfigurationDocument(2, 0, [SERVICE]);
  const tenants = TENANTS.map(({ name, ratePerSecond }) => ({
    ...{ name, api_keys: [`key-of-${name}`] },
    ...{ rate_per_s: ratePerSecond, burst: ratePerSecond },
  }));
  return { ...document, tenants };
};

const start = async (t: Test): Promise<PlatformCluster> => {
  const platform = new PlatformCluster({
    controlIps: CONTROL_IPS,
    nodeIps: NODE_IPS,
    services: [SERVICE],
    zones: ['zone-a', 'zone-b', 'zone-c'],
    machine: {
      bounds: { ...BOUNDS, strict_revoke: true, revoke: '5000ms' },
      contracts: ['drain', 'config', 'tenants', 'quota'],
    },
    findWorkerOptions: () => ({ slots: 40, workMs: 5 }),
  });
  t.teardown(() => platform.stop());
  await platform.start();
  await platform.applyConfiguration(createDocument());
  return platform;
};

/** Sends the requests of one workspace to all nodes in turn. */
const sendFor = async (
  platform: PlatformCluster,
  tenant: Tenant,
  { perSecond, durationMs }: { perSecond: number; durationMs: number },
): Promise<Sent[]> => {
  const startMs = performance.now();
  const pending: Promise<Sent>[] = [];
  const send = async (index: number): Promise<Sent> => {
    const node = platform.nodes[index % NODE_IPS.length];
    const atMs = performance.now();
    const headers = { authorization: `Token key-of-${tenant.name}` };
    const options = { path: `/desk/${tenant.name}/${index}`, headers, remainingMs: 4_000 };
    const { status } = await sendAttempt(node?.address('outbound') ?? '', options);
    return { tenant: tenant.name, atMs, status };
  };
  while (performance.now() - startMs < durationMs) {
    const due = ((performance.now() - startMs) * perSecond) / 1_000;
    while (pending.length <= due) pending.push(send(pending.length));
    await delay(5);
  }
  return Promise.all(pending);
};

const countMostInWindow = (times: readonly number[]): number =>
  times.reduce(
    (most, fromMs) =>
      Math.max(most, times.filter((atMs) => atMs >= fromMs && atMs <= fromMs + WINDOW_MS).length),
    0,
  );

const DISRUPTIONS: Record<string, (platform: PlatformCluster) => Promise<void>> = {
  killed: async ({ controls }) => {
    await Promise.all(controls.map((control) => control.stop('SIGKILL')));
    await delay(500);
    await Promise.all(controls.map((control) => control.start({ isFirstStart: false })));
  },
  suspended: async ({ controls }) => {
    controls.forEach((control) => control.setFrozen(true));
    await delay(3_000);
    controls.forEach((control) => control.setFrozen(false));
  },
};

// Guards against nodes that go on with more than the quota while no control VM counts what they admit,
// and against a loss of all control VMs that a workspace with its usual requests notices.
Object.entries(DISRUPTIONS).forEach(([name, disrupt]) =>
  tap.test(`quotas hold while all control VMs are ${name}`, async (t) => {
    const platform = await start(t);
    const sendUsual = async (durationMs: number): Promise<Sent[]> => {
      const sending = TENANTS.map((tenant) =>
        sendFor(platform, tenant, {
          perSecond: tenant.ratePerSecond * USUAL_SHARE,
          durationMs,
        }),
      );
      return (await Promise.all(sending)).flat();
    };
    await waitFor('every node serves', async () =>
      (await sendUsual(1_500)).every(({ status }) => status === HTTP_OK),
    );
    const before = await sendUsual(USUAL_MS);
    const [during] = await Promise.all([
      Promise.all(
        TENANTS.map((tenant) =>
          sendFor(platform, tenant, {
            perSecond: tenant.ratePerSecond * USUAL_SHARE * (tenant.isHot ? HOT_FACTOR : 1),
            durationMs: HOT_MS,
          }),
        ),
      ),
      disrupt(platform),
    ]);
    const sent = [...before, ...during.flat()];
    TENANTS.forEach(({ name: tenant, ratePerSecond, isHot }) => {
      const own = sent.filter((entry) => entry.tenant === tenant);
      const served = own.filter(({ status }) => status === HTTP_OK);
      const most = countMostInWindow(served.map(({ atMs }) => atMs));
      const bound = (ratePerSecond * 5 + ratePerSecond) * 1.1 + 20;
      t.ok(most <= bound, `${tenant}: ${most} in a window, of ${bound}`);
      const refused = own.filter(({ status }) => status === 429);
      const share = served.length / own.length;
      if (!isHot) {
        t.ok(
          share >= MIN_SERVED,
          `${tenant}: ${share.toFixed(2)} served, ${refused.length} refused`,
        );
      }
    });
  }),
);
