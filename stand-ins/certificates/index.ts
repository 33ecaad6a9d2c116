/** Issues certificates for tests, signed by a CA that the test creates. */
import { generateKeyPairSync } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import forge from 'node-forge';

import type { TlsFiles } from '../../src/process/tls/loadTlsMaterial/index.js';

const KEY_BITS = 2_048;
const DAY_MS = 86_400_000;

interface KeyPair {
  privatePem: string;
  privateKey: forge.pki.rsa.PrivateKey;
  publicKey: forge.pki.PublicKey;
}

export interface CertificateRequest {
  name: string;
  /** Organizational unit; `control` or `node`. */
  role?: string;
  /** IP addresses for the subjectAltName extension. */
  addresses?: string[];
  validFromMs?: number;
  validToMs?: number;
}

export interface IssuedCertificate {
  key: string;
  cert: string;
}

const createKeyPair = (): KeyPair => {
  const { privateKey, publicKey } = generateKeyPairSync('rsa', {
    modulusLength: KEY_BITS,
    privateKeyEncoding: { type: 'pkcs1', format: 'pem' },
    publicKeyEncoding: { type: 'spki', format: 'pem' },
  });
  return {
    privatePem: privateKey,
    privateKey: forge.pki.privateKeyFromPem(privateKey),
    publicKey: forge.pki.publicKeyFromPem(publicKey),
  };
};

const createUnsignedCertificate = (
  publicKey: forge.pki.PublicKey,
  request: CertificateRequest,
): forge.pki.Certificate => {
  const certificate = forge.pki.createCertificate();
  certificate.publicKey = publicKey;
  certificate.serialNumber = `01${Math.floor(Math.random() * 2 ** 40).toString(16)}`;
  certificate.validity.notBefore = new Date(request.validFromMs ?? Date.now() - DAY_MS);
  certificate.validity.notAfter = new Date(request.validToMs ?? Date.now() + DAY_MS);
  const unit =
    request.role === undefined ? [] : [{ name: 'organizationalUnitName', value: request.role }];
  certificate.setSubject([{ name: 'commonName', value: request.name }, ...unit]);
  return certificate;
};

/** Certificate authority with its own key. */
export class TestAuthority {
  readonly cert: string;

  readonly #certificate: forge.pki.Certificate;

  readonly #keys = createKeyPair();

  /** @param name - common name of the CA */
  constructor(name = 'test-ca') {
    this.#certificate = createUnsignedCertificate(this.#keys.publicKey, { name });
    this.#certificate.setIssuer(this.#certificate.subject.attributes);
    this.#certificate.setExtensions([{ name: 'basicConstraints', cA: true }]);
    this.#certificate.sign(this.#keys.privateKey, forge.md.sha256.create());
    this.cert = forge.pki.certificateToPem(this.#certificate);
  }

  /** Issues a certificate with a new key. */
  issue(request: CertificateRequest): IssuedCertificate {
    const keys = createKeyPair();
    const certificate = createUnsignedCertificate(keys.publicKey, request);
    certificate.setIssuer(this.#certificate.subject.attributes);
    certificate.setExtensions([
      {
        name: 'subjectAltName',
        altNames: (request.addresses ?? ['127.0.0.1']).map((ip) => ({ type: 7, ip })),
      },
    ]);
    certificate.sign(this.#keys.privateKey, forge.md.sha256.create());
    return { key: keys.privatePem, cert: forge.pki.certificateToPem(certificate) };
  }
}

/** Writes PEM files into a folder and returns their paths. */
export const writeTlsFiles = (folder: string, issued: IssuedCertificate, ca: string): TlsFiles => {
  const files = {
    key: join(folder, 'key.pem'),
    certificate: join(folder, 'certificate.pem'),
    ca: join(folder, 'ca.pem'),
  };
  writeFileSync(files.key, issued.key);
  writeFileSync(files.certificate, issued.cert);
  writeFileSync(files.ca, ca);
  return files;
};
