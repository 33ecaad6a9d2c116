/** Why a node must not serve requests yet. */
export enum NotReadyReason {
  /** No control VM has confirmed its version yet, and the node is not known to be cut off. */
  Unconfirmed = 'UNCONFIRMED',
  /** A newer version was confirmed than the one in force. */
  Behind = 'BEHIND',
  /** No version has been accepted yet, so there is nothing to serve. */
  NothingAccepted = 'NOTHING_ACCEPTED',
  /** Cut off, and some reachable peer holds another version. */
  PeersDiffer = 'PEERS_DIFFER',
  /** Cut off from a majority of control VMs and from every peer. */
  Isolated = 'ISOLATED',
}

/** What a node relied on when it began to serve. */
export enum ReadyBasis {
  ConfirmedControl = 'CONFIRMED_CONTROL',
  ControlMajority = 'CONTROL_MAJORITY',
  AllPeers = 'ALL_PEERS',
}

/** A node that does not know whether its version is the newest. */
export class ReadinessError extends Error {
  override readonly name = 'ReadinessError';

  /**
   * @param code - the reason
   * @param message - one sentence with the versions concerned
   */
  constructor(
    readonly code: NotReadyReason,
    message: string,
  ) {
    super(message);
  }
}
