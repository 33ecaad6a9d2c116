/** What a control VM knows of a node at one computation, shared by the demand of all workspaces. */
export default interface NodeContact {
  nodeId: string;
  /** The counts start at zero with each incarnation. */
  incarnation: bigint;
  /** Whether the node is in the reports at all. */
  isKnown: boolean;
  /** Whether the node may admit requests: it accepts no keys after a long silence. */
  isActive: boolean;
  /** Whether an active node is out of touch, by itself or with its control VM. */
  isSilent: boolean;
  /** Whether this control VM has counted a report of the node. */
  hasReported: boolean;
  /** Whether the node is attached to this control VM. */
  isOwn: boolean;
}
