/** Sends requests as clients and operators of the platform do. */
import { randomUUID } from 'node:crypto';

import { request } from 'undici';

export interface ControlReply {
  status: number;
  body: string;
}

/** Sends an operator call to a control VM. */
export const callControl = async (
  control: string,
  call: 'configuration.replace' | 'configuration.read',
  document: object | string = '',
): Promise<ControlReply> => {
  const { statusCode, body } = await request(`http://${control}/-/rpc?call=${call}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: typeof document === 'string' ? document : JSON.stringify(document),
  });
  return { status: statusCode, body: await body.text() };
};

export interface AttemptReply {
  status: number;
  attemptId: string;
  stamp: string | undefined;
  retryAfter: string | undefined;
  body: string;
}

/** Sends one client attempt through a node. */
export const sendAttempt = async (
  outbound: string,
  options: {
    path: string;
    method?: 'GET' | 'POST';
    host?: string;
    remainingMs?: number;
    headers?: Record<string, string>;
  },
): Promise<AttemptReply> => {
  const { path, method = 'GET', host = 'shop.example', remainingMs = 2_000 } = options;
  const attemptId = randomUUID();
  const { statusCode, headers, body } = await request(`http://${outbound}${path}`, {
    method,
    headers: {
      host,
      'attempt-id': attemptId,
      'deadline-remaining': String(remainingMs),
      // Only nodes may set this header; they replace a value that a client sends.
      'caller-service': 'forged',
      ...options.headers,
    },
    body: method === 'POST' ? 'one bundle' : null,
  });
  return {
    status: statusCode,
    attemptId,
    stamp: headers['server-stamp']?.toString(),
    retryAfter: headers['retry-after']?.toString(),
    body: await body.text(),
  };
};

/** Creates a configuration document with a lookup route and an order route for each service. */
export const createConfigurationDocument = (
  version: number,
  baseVersion: number,
  services: string[],
): { version: string; base_version: string; routes: object[]; services: object[] } => ({
  version: `r${version}`,
  base_version: `r${baseVersion}`,
  routes: services.flatMap((service) => [
    {
      ...{ name: `${service}-lookups`, host: 'shop.example', path_prefix: `/${service}/` },
      ...{ route_class: 'safe', timeout: '2s', target_latency: '500ms', priority: 2 },
      ...{ service, max_attempts: 2 },
    },
    {
      ...{ name: `${service}-orders`, host: 'shop.example', path_prefix: `/${service}/orders/` },
      ...{ route_class: 'non_idempotent', timeout: '2s', target_latency: '500ms', priority: 1 },
      ...{ service, max_attempts: 1 },
    },
  ]),
  services: services.map((name) => ({ name, health_path: '/health', max_connections: 64 })),
});
