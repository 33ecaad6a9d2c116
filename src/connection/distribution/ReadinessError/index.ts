/** Why a node is not ready to serve requests. */
export enum NotReadyReason {
  /** No control VM has confirmed the newest version yet, and the wait for one has not timed out. */
  Unconfirmed = 'UNCONFIRMED',
  /** A version newer than the one in force is confirmed. */
  Behind = 'BEHIND',
  /** No version has been accepted yet, so there are no routes to serve. */
  NothingAccepted = 'NOTHING_ACCEPTED',
  /** No control VM in time, and a reachable peer holds another version. */
  PeersDiffer = 'PEERS_DIFFER',
  /** Neither a majority of control VMs nor any peer is reachable. */
  Isolated = 'ISOLATED',
}

/** Evidence that a node held the newest version when it became ready. */
export enum ReadyBasis {
  ConfirmedControl = 'CONFIRMED_CONTROL',
  ControlMajority = 'CONTROL_MAJORITY',
  AllPeers = 'ALL_PEERS',
}

/** Reports that a node is not ready because its version is not known to be the newest. */
export class ReadinessError extends Error {
  override readonly name = 'ReadinessError';

  /**
   * @param code - the reason
   * @param message - explanation with the versions concerned
   */
  constructor(
    readonly code: NotReadyReason,
    message: string,
  ) {
    super(message);
  }
}
