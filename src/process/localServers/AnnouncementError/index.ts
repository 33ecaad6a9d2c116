/** Why an announcement was refused. */
export enum AnnouncementErrorCode {
  InvalidField = 'INVALID_FIELD',
  TooManyServers = 'TOO_MANY_SERVERS',
  NodeDraining = 'NODE_DRAINING',
  UnknownServer = 'UNKNOWN_SERVER',
}

/** An announcement that the node did not accept; nothing changed. */
export class AnnouncementError extends Error {
  override readonly name = 'AnnouncementError';

  /**
   * @param code - reason for programs
   * @param message - reason for people; names the field
   * @param field - JSON field at fault, if there is one
   */
  constructor(
    readonly code: AnnouncementErrorCode,
    message: string,
    readonly field?: string,
  ) {
    super(message);
  }
}
