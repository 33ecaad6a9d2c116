/** What the proxy does to the connections through it. */
export enum LinkFault {
  None = 'none',
  /** Each chunk waits `delayMs` plus up to `jitterMs`, in order. */
  Delay = 'delay',
  /** Connections are closed at once, and so are new ones. */
  Cut = 'cut',
  /** Connections are accepted and kept, but nothing passes until the fault ends. */
  HalfOpen = 'half-open',
  /** Only bytes from the client to the target pass. */
  OnlyToTarget = 'only-to-target',
  /** Only bytes from the target to the client pass. */
  OnlyToClient = 'only-to-client',
  /** Each connection is closed after `truncateBytes` bytes from the target. */
  Truncate = 'truncate',
  /** Connections are reset, and so are new ones. */
  Reset = 'reset',
}

export interface LinkSettings {
  fault: LinkFault;
  delayMs: number;
  jitterMs: number;
  /** Counted from the moment the fault begins; unset draws a number below 4,096 from the seed. */
  truncateBytes?: number;
}

export const HEALTHY_LINK: LinkSettings = { fault: LinkFault.None, delayMs: 0, jitterMs: 0 };

export enum Direction {
  ToTarget = 'to-target',
  ToClient = 'to-client',
}
