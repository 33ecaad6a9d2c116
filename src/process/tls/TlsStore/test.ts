import { writeFileSync } from 'node:fs';

import tap from 'tap';

import { TestAuthority, writeTlsFiles } from '../../../../stand-ins/certificates/index.js';
import { expectError, expectOk } from '../../../../stand-ins/results/index.js';
import { TlsErrorCode } from '../TlsError/index.js';
import { ProcessRole } from '../readIdentity/index.js';
import { TlsStore } from './index.js';

const expected = { name: 'node-1', role: ProcessRole.Node };
const request = { name: 'node-1', role: 'node' };

tap.test('a reload uses the new files; a failed one keeps the previous material', async (t) => {
  const authority = new TestAuthority();
  const folder = t.testdir();
  const first = authority.issue(request);
  const files = writeTlsFiles(folder, first, authority.cert);
  const store = expectOk(await TlsStore.open(files, expected, Date.now()));
  const reloaded: string[] = [];
  store.onReloaded((material) => reloaded.push(material.cert));

  writeFileSync(files.certificate, 'torn');
  const error = expectError(await store.reload(Date.now()));
  t.equal(error.code, TlsErrorCode.Undecodable);
  t.equal(store.current().cert, first.cert);

  const second = authority.issue(request);
  writeTlsFiles(folder, second, authority.cert);
  expectOk(await store.reload(Date.now()));
  t.equal(store.current().cert, second.cert);
  t.strictSame(reloaded, [second.cert]);
});
