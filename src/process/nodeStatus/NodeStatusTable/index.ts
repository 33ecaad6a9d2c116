/** Table of the nodes attached to this control VM and to the other control VMs. */
import { compareStamps } from '../../endpoints/_lib/compareStamps.js';

import type { NodeStatus } from '../types.js';

/** How long a disconnected node stays in the table. */
const RETENTION_MS = 600_000;

/** Status of one node with the stamp of its record, which orders reports of several control VMs. */
export interface NodeReport extends NodeStatus {
  incarnation: bigint;
  sequence: number;
}

interface NodeStatusEntry {
  report: NodeReport;
  /** Control VM that the node is attached to. */
  memberId: string;
  confirmedAtMs: number;
}

/** Called with the id of a node attached to this control VM whose report changed. */
export type ReportListener = (nodeId: string) => void;

/** Keeps one report per node, the one with the newest record stamp. */
export class NodeStatusTable {
  readonly #memberId: string;

  readonly #entries = new Map<string, NodeStatusEntry>();

  readonly #listeners = new Set<ReportListener>();

  /** @param memberId - name of this control VM */
  constructor(memberId: string) {
    this.#memberId = memberId;
  }

  /**
   * Stores the report of a control VM. When the stored report is from another control VM, an older
   * one is ignored, and so is one with the same stamp whose node is not connected.
   *
   * @param memberId - control VM that the node is attached to
   * @param report - status of the node and stamp of its record
   * @param nowMs - present time in milliseconds since the epoch
   * @returns true when the report was stored
   */
  merge(memberId: string, report: NodeReport, nowMs: number): boolean {
    const stored = this.#entries.get(report.nodeId);
    if (stored !== undefined && stored.memberId !== memberId) {
      const order = compareStamps(report, stored.report);
      if (order < 0 || (order === 0 && !report.isConnected)) return false;
    }
    this.#entries.set(report.nodeId, { report, memberId, confirmedAtMs: nowMs });
    if (memberId === this.#memberId) this.#notify(report.nodeId);
    return true;
  }

  /** Returns whether this control VM is the one that the node is, or was last, attached to. */
  isOwn(nodeId: string): boolean {
    return this.#entries.get(nodeId)?.memberId === this.#memberId;
  }

  /** Returns the report of one node. */
  find(nodeId: string): NodeReport | undefined {
    return this.#entries.get(nodeId)?.report;
  }

  /** Returns the reports of the nodes that are, or were last, attached to this control VM. */
  listOwnReports(): NodeReport[] {
    return [...this.#entries.values()]
      .filter((entry) => entry.memberId === this.#memberId)
      .map((entry) => entry.report);
  }

  /**
   * Returns the status of every node, ordered by id.
   *
   * @param isReachable - returns whether another control VM is reachable; the nodes of an unreachable
   *   one are listed as not connected
   */
  listStatuses(isReachable: (memberId: string) => boolean): NodeStatus[] {
    return [...this.#entries.values()]
      .map(({ report, memberId }) => {
        const { incarnation, sequence, ...status } = report;
        const isConnected =
          status.isConnected && (memberId === this.#memberId || isReachable(memberId));
        return { ...status, isConnected };
      })
      .toSorted((left, right) => (left.nodeId < right.nodeId ? -1 : 1));
  }

  /** Extends the retention of the connected nodes of a control VM. */
  extendRetention(memberId: string, nowMs: number): void {
    [...this.#entries.values()]
      .filter((entry) => entry.memberId === memberId && entry.report.isConnected)
      .forEach((entry) => Object.assign(entry, { confirmedAtMs: nowMs }));
  }

  /** Removes the nodes that no control VM has reported within the retention time. */
  expire(nowMs: number): void {
    this.#entries.forEach((entry, nodeId) => {
      if (entry.confirmedAtMs + RETENTION_MS <= nowMs) this.#entries.delete(nodeId);
    });
  }

  /**
   * Calls the listener after each change of a node attached to this control VM.
   *
   * @returns a function that removes the listener
   */
  onOwnChanged(listener: ReportListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(nodeId: string): void {
    this.#listeners.forEach((listener) => listener(nodeId));
  }
}
