/** Loads and validates the key, certificate and CA of a process. */
import { X509Certificate, createPrivateKey } from 'node:crypto';
import { readFile } from 'node:fs/promises';

import { Result, ResultAsync, err, ok } from 'neverthrow';

import type { KeyObject } from 'node:crypto';
import { TlsError, TlsErrorCode } from '../TlsError/index.js';
import { readIdentity } from '../readIdentity/index.js';

import type { TlsMaterial } from '../../../connection/openTransport/index.js';
import type { CertificateSubject, ProcessRole } from '../readIdentity/index.js';

/** Paths of PEM files. */
export interface TlsFiles {
  key: string;
  certificate: string;
  /** One or more CA certificates; two during the rotation of a CA. */
  ca: string;
}

/** Identity that the certificate must have. */
export interface ExpectedIdentity {
  /** Name of the process in its settings. */
  name: string;
  role: ProcessRole;
}

interface ParsedMaterial {
  key: KeyObject;
  certificate: X509Certificate;
  authorities: X509Certificate[];
}

const PEM_CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g;

const fail = (code: TlsErrorCode, message: string) => err(new TlsError(code, message));

const readPem = (path: string): ResultAsync<string, TlsError> =>
  ResultAsync.fromPromise(
    readFile(path, 'utf8'),
    (cause) =>
      new TlsError(
        TlsErrorCode.MissingFile,
        `${path} cannot be read: ${(cause as NodeJS.ErrnoException).code}`,
      ),
  );

const parsePem = <Value>(path: string, kind: string, read: () => Value): Result<Value, TlsError> =>
  Result.fromThrowable(
    read,
    () => new TlsError(TlsErrorCode.Undecodable, `${path} is not a ${kind} in PEM`),
  )();

const parseAuthorities = (path: string, pem: string): Result<X509Certificate[], TlsError> =>
  parsePem(path, 'list of certificates', () => {
    const blocks = pem.match(PEM_CERTIFICATE_PATTERN) ?? [];
    if (blocks.length === 0) throw new Error('no certificate');
    return blocks.map((block) => new X509Certificate(block));
  });

const parseMaterial = (files: TlsFiles, material: TlsMaterial): Result<ParsedMaterial, TlsError> =>
  parsePem(files.key, 'private key', () => createPrivateKey(material.key)).andThen((key) =>
    parsePem(files.certificate, 'certificate', () => new X509Certificate(material.cert)).andThen(
      (certificate) =>
        parseAuthorities(files.ca, material.ca).map((authorities) => ({
          key,
          certificate,
          authorities,
        })),
    ),
  );

const checkValidity = (
  path: string,
  certificate: X509Certificate,
  nowMs: number,
): Result<void, TlsError> => {
  if (nowMs < Date.parse(certificate.validFrom)) {
    return fail(TlsErrorCode.NotYetValid, `${path} is valid from ${certificate.validFrom}`);
  }
  if (nowMs >= Date.parse(certificate.validTo)) {
    return fail(TlsErrorCode.Expired, `${path} expired at ${certificate.validTo}`);
  }
  return ok(undefined);
};

const checkIssuer = (files: TlsFiles, parsed: ParsedMaterial): Result<void, TlsError> => {
  const { certificate, authorities } = parsed;
  const isSigned = authorities.some(
    (authority) => certificate.checkIssued(authority) && certificate.verify(authority.publicKey),
  );
  return isSigned
    ? ok(undefined)
    : fail(TlsErrorCode.UnknownIssuer, `${files.certificate} is not signed by a CA of ${files.ca}`);
};

const checkKey = (files: TlsFiles, { certificate, key }: ParsedMaterial): Result<void, TlsError> =>
  certificate.checkPrivateKey(key)
    ? ok(undefined)
    : fail(TlsErrorCode.KeyMismatch, `${files.key} is not the key of ${files.certificate}`);

const checkIdentity = (
  path: string,
  certificate: X509Certificate,
  expected: ExpectedIdentity,
): Result<void, TlsError> => {
  const subject = certificate.toLegacyObject().subject as CertificateSubject;
  const { name, role } = readIdentity(subject);
  if (name !== expected.name) {
    const message = `${path} is issued for ${name || 'nobody'} (CN), but ${expected.name} is required`;
    return fail(TlsErrorCode.WrongName, message);
  }
  if (role !== expected.role) {
    const message = `${path} has the role ${role ?? 'none'} (OU), but ${expected.role} is required`;
    return fail(TlsErrorCode.WrongRole, message);
  }
  return ok(undefined);
};

/**
 * Loads TLS material and validates it, so that faults are reported before the first connection.
 *
 * @param files - paths of the PEM files
 * @param expected - identity that the certificate must have
 * @param nowMs - current time in milliseconds since the epoch
 * @returns the material, or the first fault: a file that is missing or not PEM, a key that does not
 *   match the certificate, or a certificate that is not signed by the CA, not valid now or issued for
 *   another process
 */
export const loadTlsMaterial = (
  files: TlsFiles,
  expected: ExpectedIdentity,
  nowMs: number,
): ResultAsync<TlsMaterial, TlsError> =>
  ResultAsync.combine([readPem(files.key), readPem(files.certificate), readPem(files.ca)]).andThen(
    ([key = '', cert = '', ca = '']) => {
      const material = { key, cert, ca };
      return parseMaterial(files, material).andThen((parsed) =>
        checkKey(files, parsed)
          .andThen(() => checkIssuer(files, parsed))
          .andThen(() => checkValidity(files.certificate, parsed.certificate, nowMs))
          .andThen(() => checkIdentity(files.certificate, parsed.certificate, expected))
          .map(() => material),
      );
    },
  );
