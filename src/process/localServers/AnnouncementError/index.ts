/** Why an announcement was refused. */
export enum AnnouncementErrorCode {
  InvalidField = 'INVALID_FIELD',
  TooManyServers = 'TOO_MANY_SERVERS',
  NodeDraining = 'NODE_DRAINING',
  UnknownServer = 'UNKNOWN_SERVER',
}

/** An announcement or withdrawal that the node refused without any change. */
export class AnnouncementError extends Error {
  override readonly name = 'AnnouncementError';

  /**
   * @param code - machine-readable reason
   * @param message - human-readable reason, which names the field
   * @param field - invalid JSON field, if there is one
   */
  constructor(
    readonly code: AnnouncementErrorCode,
    message: string,
    readonly field?: string,
  ) {
    super(message);
  }
}
