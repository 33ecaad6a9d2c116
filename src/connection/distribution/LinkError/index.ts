import { Code, ConnectError } from '@connectrpc/connect';

/** Why a stream or call between two processes ended. */
export enum LinkErrorCode {
  Unreachable = 'UNREACHABLE',
  Ended = 'ENDED',
  Silent = 'SILENT',
  Forbidden = 'FORBIDDEN',
  /** The certificate of the other process was not accepted. */
  Untrusted = 'UNTRUSTED',
}

const FORBIDDEN_CODES = new Set([Code.PermissionDenied, Code.Unauthenticated]);

// Matches the codes that OpenSSL and node:tls give to a rejected certificate, and the message of the
// error for a wrong role, which has no code.
const CERTIFICATE_ERROR_PATTERN = /CERT|SIGNATURE|ISSUER|certificate/;

const isCertificateError = (cause: unknown): boolean => {
  if (!(cause instanceof Error)) return false;
  const name = 'code' in cause ? String(cause.code) : cause.message;
  return CERTIFICATE_ERROR_PATTERN.test(name) || isCertificateError(cause.cause);
};

/** Error that ended a stream or call between two processes. */
export class LinkError extends Error {
  override readonly name = 'LinkError';

  constructor(
    readonly code: LinkErrorCode,
    message: string,
  ) {
    super(message);
  }

  /** Converts an error of connect-es. */
  static from(cause: unknown): LinkError {
    const error = ConnectError.from(cause);
    if (FORBIDDEN_CODES.has(error.code)) {
      return new LinkError(LinkErrorCode.Forbidden, error.rawMessage);
    }
    if (isCertificateError(error.cause)) {
      return new LinkError(LinkErrorCode.Untrusted, error.rawMessage);
    }
    const isUnreachable = error.code === Code.Unavailable;
    const code = isUnreachable ? LinkErrorCode.Unreachable : LinkErrorCode.Ended;
    return new LinkError(code, error.rawMessage);
  }
}
