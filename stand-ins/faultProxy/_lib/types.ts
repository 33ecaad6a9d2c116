/** Faults that the proxy injects into its connections. */
export enum LinkFault {
  None = 'none',
  /** Each chunk waits `delayMs` plus up to `jitterMs`, in order. */
  Delay = 'delay',
  /** Open and new connections are closed immediately. */
  Cut = 'cut',
  /** Connections are accepted and stay open, but nothing is forwarded until the fault ends. */
  HalfOpen = 'half-open',
  /** Only bytes from the client to the target are forwarded. */
  OnlyToTarget = 'only-to-target',
  /** Only bytes from the target to the client are forwarded. */
  OnlyToClient = 'only-to-client',
  /** Each connection is closed after `truncateBytes` bytes from the target. */
  Truncate = 'truncate',
  /** Open and new connections are reset. */
  Reset = 'reset',
}

export interface LinkSettings {
  fault: LinkFault;
  delayMs: number;
  jitterMs: number;
  /** Counted from the start of the fault; when unset, drawn from the seed, at most 4,096. */
  truncateBytes?: number;
}

export const HEALTHY_LINK: LinkSettings = { fault: LinkFault.None, delayMs: 0, jitterMs: 0 };

export enum Direction {
  ToTarget = 'to-target',
  ToClient = 'to-client',
}
