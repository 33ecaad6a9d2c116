/** Status of one node, as the `status` command shows it. */
export interface NodeStatus {
  nodeId: string;
  dataCentre: string;
  /** Version in force; 0 before the first install. */
  version: number;
  /** When the node reported that version, in milliseconds since the epoch. */
  inForceAtMs: number;
  isConnected: boolean;
  refusedVersion?: number;
  refusalReason?: string;
}
