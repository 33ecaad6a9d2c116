/** Creates the configuration of a small deployment. */
const createConfiguration = (services, { version = 3, baseVersion = 0, timeout = '2s' } = {}) => ({
  version: `r${version}`,
  base_version: `r${baseVersion}`,
  routes: services.flatMap((service) => [
    {
      ...{ name: `${service}-lookups`, host: 'shop.example', path_prefix: `/${service}/` },
      ...{ route_class: 'safe', timeout, target_latency: '500ms', priority: 2 },
      ...{ service, max_attempts: 2 },
    },
    {
      ...{ name: `${service}-orders`, host: 'shop.example', path_prefix: `/${service}/orders/` },
      ...{ route_class: 'non_idempotent', timeout, target_latency: '500ms', priority: 1 },
      ...{ service, max_attempts: 1 },
    },
  ]),
  services: services.map((name) => ({
    ...{ name, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false },
  })),
  limits: {
    ...{ max_header_bytes: 16_384, max_body_bytes: 67_108_864 },
    ...{ header_timeout: '3000ms', idle_timeout: '15000ms' },
  },
});

export default createConfiguration;
