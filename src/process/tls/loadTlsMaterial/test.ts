import { rmSync, writeFileSync } from 'node:fs';

import tap from 'tap';

import { TestAuthority, writeTlsFiles } from '../../../../stand-ins/certificates/index.js';
import { expectError, expectOk } from '../../../../stand-ins/results/index.js';
import { TlsErrorCode } from '../TlsError/index.js';
import { ProcessRole } from '../readIdentity/index.js';
import { loadTlsMaterial } from './index.js';

import type { CertificateRequest } from '../../../../stand-ins/certificates/index.js';

const DAY_MS = 86_400_000;
const authority = new TestAuthority();
const expected = { name: 'node-1', role: ProcessRole.Node };

const issueFiles = (folder: string, request: Partial<CertificateRequest> = {}) =>
  writeTlsFiles(
    folder,
    authority.issue({ name: 'node-1', role: 'node', ...request }),
    authority.cert,
  );

tap.test('valid material is loaded, also with two CAs during a rotation', async (t) => {
  const files = issueFiles(t.testdir());
  t.match(expectOk(await loadTlsMaterial(files, expected, Date.now())).cert, 'CERTIFICATE');
  writeFileSync(files.ca, `${new TestAuthority('next-ca').cert}${authority.cert}`);
  t.ok((await loadTlsMaterial(files, expected, Date.now())).isOk());
});

tap.test('each fault of the certificate gives its error code', async (t) => {
  const folder = t.testdir();
  const nowMs = Date.now();
  const readCode = async (request: Partial<CertificateRequest>): Promise<TlsErrorCode> =>
    expectError(await loadTlsMaterial(issueFiles(folder, request), expected, nowMs)).code;

  t.equal(await readCode({ validToMs: nowMs - 1_000 }), TlsErrorCode.Expired);
  t.equal(await readCode({ validFromMs: nowMs + DAY_MS }), TlsErrorCode.NotYetValid);
  t.equal(await readCode({ name: 'node-2' }), TlsErrorCode.WrongName);
  t.equal(await readCode({ role: 'control' }), TlsErrorCode.WrongRole);
  t.equal(await readCode({ role: 'unknown' }), TlsErrorCode.WrongRole);
});

tap.test('missing, undecodable and mismatched files give their error code', async (t) => {
  const files = issueFiles(t.testdir());
  const readCode = async (): Promise<TlsErrorCode> =>
    expectError(await loadTlsMaterial(files, expected, Date.now())).code;

  // The CA has the same name, so that only the signature differs.
  writeFileSync(files.ca, new TestAuthority().cert);
  t.equal(await readCode(), TlsErrorCode.UnknownIssuer);
  writeFileSync(files.ca, authority.cert);
  writeFileSync(files.key, authority.issue({ name: 'node-1' }).key);
  t.equal(await readCode(), TlsErrorCode.KeyMismatch);
  writeFileSync(files.key, 'no key');
  t.equal(await readCode(), TlsErrorCode.Undecodable);
  rmSync(files.key);
  const error = expectError(await loadTlsMaterial(files, expected, Date.now()));
  t.equal(error.code, TlsErrorCode.MissingFile);
  t.match(error.message, files.key);
});
