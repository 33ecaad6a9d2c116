import { create } from '@bufbuild/protobuf';

import {
  FollowResponseSchema,
  NodeProgressSchema,
  RecordStampSchema,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import { TRAFFIC_REPORT_INTERVAL_MS } from '../timing.js';
import Wakeup from './Wakeup.js';

import type {
  FollowResponse,
  NodeProgress,
  RecordStamp,
  TrafficReport,
} from '../../../_generated/foxtailvane/v1/distribution_pb.js';
import type { Stamp } from '../../../process/endpoints/_lib/compareStamps.js';
import type { NodeReport } from '../../../process/nodeStatus/NodeStatusTable/index.js';
import type { DistributionHub } from '../DistributionHub/index.js';

const encodeProgress = (report: NodeReport): NodeProgress =>
  create(NodeProgressSchema, {
    nodeId: report.nodeId,
    dataCentre: report.dataCentre,
    version: report.version,
    inForceAtMs: BigInt(report.inForceAtMs),
    isConnected: report.isConnected,
    refusedVersion: report.refusedVersion ?? 0,
    refusalReason: report.refusalReason ?? '',
    incarnation: report.incarnation,
    sequence: report.sequence,
  });

/** Pending updates about the nodes attached here, for one control VM that follows this one. */
export default class FollowerFeed {
  readonly wakeup = new Wakeup();

  readonly #hub: DistributionHub;

  readonly #changedRecords = new Set<string>();

  readonly #changedReports = new Set<string>();

  readonly #newerStamps: RecordStamp[] = [];

  readonly #changedTraffic = new Set<string>();

  /** Stamps of the traffic reports that the follower was sent. */
  readonly #sentTraffic = new Map<string, Stamp>();

  #sentTrafficAtMs = -Infinity;

  #isFullDue = true;

  #isRenewalDue = false;

  #isClosed = false;

  constructor(hub: DistributionHub) {
    this.#hub = hub;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  close(): void {
    this.#isClosed = true;
    this.wakeup.set();
  }

  addChangedRecord(nodeId: string): void {
    this.#changedRecords.add(nodeId);
  }

  addChangedReport(nodeId: string): void {
    this.#changedReports.add(nodeId);
  }

  addChangedTraffic(nodeId: string): void {
    this.#changedTraffic.add(nodeId);
  }

  /** Adds a state newer than the one that the follower sent, so that its node supersedes it. */
  addNewerStamp(stamp: RecordStamp): void {
    this.#newerStamps.push(stamp);
  }

  requestRenewal(): void {
    this.#isRenewalDue = true;
    this.wakeup.set();
  }

  /**
   * Returns the next update; undefined when there is nothing to send.
   *
   * @param memberId - name of this control VM
   * @param nowMs - present time in milliseconds
   */
  collect(memberId: string, nowMs: number): FollowResponse | undefined {
    if (this.#isFullDue) return this.#collectFull(memberId, nowMs);
    const isTrafficDue =
      this.#changedTraffic.size > 0 && nowMs - this.#sentTrafficAtMs >= TRAFFIC_REPORT_INTERVAL_MS;
    const hasChanges =
      isTrafficDue ||
      this.#changedRecords.size > 0 ||
      this.#changedReports.size > 0 ||
      this.#newerStamps.length > 0;
    if (!hasChanges && !this.#isRenewalDue) return undefined;
    const records = [...this.#changedRecords];
    const reports = [...this.#changedReports];
    const newer = this.#newerStamps.splice(0);
    const traffic = isTrafficDue ? [...this.#changedTraffic] : [];
    this.#clear();
    return create(FollowResponseSchema, {
      reports: this.#collectTraffic(traffic, nowMs),
      upserted: records.flatMap((nodeId) => this.#hub.directory.find(nodeId) ?? []),
      released: [...records.flatMap((nodeId) => this.#findReleased(nodeId)), ...newer],
      progress: reports.flatMap((nodeId) => {
        const report = this.#hub.nodeStatuses.find(nodeId);
        return report === undefined ? [] : [encodeProgress(report)];
      }),
    });
  }

  #findReleased(nodeId: string): RecordStamp[] {
    const stamp = this.#hub.directory.findRemovedStamp(nodeId);
    if (stamp === undefined || this.#hub.directory.find(nodeId) !== undefined) return [];
    return [create(RecordStampSchema, { nodeId, ...stamp })];
  }

  // Changes of several reports of a node are sent as one.
  #collectTraffic(nodeIds: string[], nowMs: number): TrafficReport[] {
    if (nodeIds.length === 0) return [];
    this.#sentTrafficAtMs = nowMs;
    this.#changedTraffic.clear();
    const reports = nodeIds.flatMap(
      (nodeId) =>
        this.#hub.trafficReports.collectSince(nodeId, this.#sentTraffic.get(nodeId)) ?? [],
    );
    reports.forEach(({ nodeId, incarnation, sequence }) =>
      this.#sentTraffic.set(nodeId, { incarnation, sequence }),
    );
    return reports;
  }

  #collectFull(memberId: string, nowMs: number): FollowResponse {
    this.#clear();
    const reports = this.#hub.nodeStatuses.listOwnReports();
    return create(FollowResponseSchema, {
      memberId,
      isFull: true,
      upserted: reports.flatMap((report) => this.#hub.directory.find(report.nodeId) ?? []),
      progress: reports.map(encodeProgress),
      reports: this.#collectTraffic(
        reports.map(({ nodeId }) => nodeId),
        nowMs,
      ),
    });
  }

  #clear(): void {
    this.#isFullDue = false;
    this.#isRenewalDue = false;
    this.#changedRecords.clear();
    this.#changedReports.clear();
  }
}
