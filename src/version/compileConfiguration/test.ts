import tap from 'tap';

import { buildConfiguration } from '../../../stand-ins/configurations/index.js';
import { expectError, expectOk } from '../../../stand-ins/results/index.js';
import { ConfigurationErrorCode } from '../ConfigurationError/index.js';
import { compileConfiguration } from './index.js';

import type { ConfigurationRows } from '../../../stand-ins/configurations/index.js';

const targets = [{ service: 'desk', weightPercent: 100 }];
const services = [{ name: 'desk' }];

const compile = (rows: ConfigurationRows) => compileConfiguration(buildConfiguration(1, rows));

const readCode = (rows: ConfigurationRows): string => expectError(compile(rows)).code;

tap.test('a version that violates a rule is refused with the code of the rule', async (t) => {
  const lost = [{ name: 'r', targets: [{ service: 'lost', weightPercent: 100 }] }];
  t.equal(readCode({ services, routes: lost }), ConfigurationErrorCode.UnknownService);
  const light = [{ name: 'r', targets: [{ service: 'desk', weightPercent: 99 }] }];
  t.equal(readCode({ services, routes: light }), ConfigurationErrorCode.WeightSum);
  t.equal(readCode({ services, routes: [{ name: 'r' }] }), ConfigurationErrorCode.WeightSum);
  const twice = [
    { name: 'r', targets },
    { name: 'r', targets },
  ];
  t.equal(readCode({ services, routes: twice }), ConfigurationErrorCode.DuplicateName);
  t.equal(readCode({ services: [...services, ...services] }), ConfigurationErrorCode.DuplicateName);
});

tap.test('content that does not match its hash is refused', async (t) => {
  const configuration = buildConfiguration(1, { services });
  const altered = { ...configuration, services: [] };
  const error = expectError(compileConfiguration(altered));
  t.equal(error.code, ConfigurationErrorCode.HashMismatch);
});

tap.test('version 0 is refused, because it stands for no configuration', async (t) => {
  const error = expectError(compileConfiguration(buildConfiguration(0, { services })));
  t.equal(error.code, ConfigurationErrorCode.VersionMissing);
});

tap.test('matchRoute returns the most specific route', async (t) => {
  const compiled = expectOk(
    compile({
      services,
      routes: [
        { name: 'any-root', host: '*', pathPrefix: '/', targets },
        { name: 'any-stock', host: '*', pathPrefix: '/stock', targets },
        { name: 'any-orders-post', host: '*', pathPrefix: '/orders', methods: ['POST'], targets },
        { name: 'desk-root', host: 'Desk.example', pathPrefix: '/', methods: ['GET'], targets },
        {
          name: 'desk-stock',
          host: 'desk.example',
          pathPrefix: '/stock',
          methods: ['PUT'],
          targets,
        },
      ],
    }),
  );
  const match = (host: string, path: string, method: string) =>
    compiled.matchRoute(host, path, method)?.name;

  t.equal(match('desk.example', '/stock/1', 'PUT'), 'desk-stock', 'longest prefix of the host');
  t.equal(
    match('desk.example', '/stock/1', 'GET'),
    'desk-root',
    'shorter prefix, because of the method',
  );
  t.equal(match('desk.example', '/stock/1', 'DELETE'), 'any-stock', 'fallback to any host');
  t.equal(match('other.example', '/stock', 'GET'), 'any-stock');
  t.equal(match('other.example', '/stockings', 'GET'), 'any-root', 'whole segments only');
  t.equal(match('other.example', '/orders/7', 'POST'), 'any-orders-post');
  t.equal(match('other.example', '/orders/7', 'GET'), 'any-root');
  t.equal(compiled.findService('desk')?.name, 'desk');
  t.equal(compiled.findService('lost'), undefined);
});

tap.test('matchRoute returns undefined when no route matches', async (t) => {
  const routes = [{ name: 'r', host: 'desk.example', pathPrefix: '/stock', targets }];
  const compiled = expectOk(compile({ services, routes }));
  t.equal(compiled.matchRoute('other.example', '/stock', 'GET'), undefined);
  t.equal(compiled.matchRoute('desk.example', '/', 'GET'), undefined);
});

const createDigest = (fill: number): Uint8Array => Buffer.alloc(32, fill);

const toHex = (fill: number): string => Buffer.from(createDigest(fill)).toString('hex');

tap.test('findWorkspace returns the holder of a key', async (t) => {
  const oak = { name: 'oak', keyDigests: [createDigest(1), createDigest(2)] };
  const compiled = expectOk(compile({ workspaces: [oak, { name: 'elm' }] }));
  t.equal(compiled.needsKeys, true);
  t.equal(compiled.findWorkspace(toHex(2))?.name, 'oak');
  t.equal(compiled.findWorkspace(toHex(3)), undefined);
  t.equal(expectOk(compile({ services })).needsKeys, false);
});

// Guards against a version that finds the keys of the version before it.
tap.test('a version with a key less does not find that key', async (t) => {
  const first = buildConfiguration(1, {
    workspaces: [
      { name: 'elm', keyDigests: [createDigest(1)] },
      { name: 'oak', keyDigests: [createDigest(2)] },
    ],
  });
  const second = buildConfiguration(2, {
    workspaces: [...first.workspaces.slice(0, 1), { name: 'oak' }],
  });
  t.equal(expectOk(compileConfiguration(first)).findWorkspace(toHex(2))?.name, 'oak');
  t.equal(expectOk(compileConfiguration(second)).findWorkspace(toHex(2)), undefined);
  t.equal(expectOk(compileConfiguration(second)).findWorkspace(toHex(1))?.name, 'elm');
});

tap.test('a key of two workspaces and what is no digest are refused', async (t) => {
  const shared = ['elm', 'oak'].map((name) => ({ name, keyDigests: [createDigest(1)] }));
  t.equal(readCode({ workspaces: shared }), ConfigurationErrorCode.DuplicateKey);
  const short = [{ name: 'oak', keyDigests: [createDigest(1).subarray(1)] }];
  t.equal(readCode({ workspaces: short }), ConfigurationErrorCode.InvalidWorkspace);
  const negative = [{ name: 'oak', ratePerSecond: -1 }];
  t.equal(readCode({ workspaces: negative }), ConfigurationErrorCode.InvalidWorkspace);
  const twice = [{ name: 'oak' }, { name: 'oak' }];
  t.equal(readCode({ workspaces: twice }), ConfigurationErrorCode.DuplicateName);
});
