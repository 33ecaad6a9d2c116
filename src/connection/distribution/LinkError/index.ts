import { Code, ConnectError } from '@connectrpc/connect';

/** Why a stream between two processes ended. */
export enum LinkErrorCode {
  Unreachable = 'UNREACHABLE',
  Ended = 'ENDED',
  Silent = 'SILENT',
  Forbidden = 'FORBIDDEN',
}

const FORBIDDEN_CODES = new Set([Code.PermissionDenied, Code.Unauthenticated]);

/** The end of a stream or call between two processes. */
export class LinkError extends Error {
  override readonly name = 'LinkError';

  constructor(
    readonly code: LinkErrorCode,
    message: string,
  ) {
    super(message);
  }

  /** Converts what connect-es throws. */
  static from(cause: unknown): LinkError {
    const error = ConnectError.from(cause);
    if (FORBIDDEN_CODES.has(error.code)) {
      return new LinkError(LinkErrorCode.Forbidden, error.rawMessage);
    }
    const isUnreachable = error.code === Code.Unavailable;
    const code = isUnreachable ? LinkErrorCode.Unreachable : LinkErrorCode.Ended;
    return new LinkError(code, error.rawMessage);
  }
}
