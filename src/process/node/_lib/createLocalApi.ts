import { Hono } from 'hono';

import type { NodeLink } from '../../../connection/distribution/NodeLink/index.js';
import type { EndpointDirectory } from '../../endpoints/EndpointDirectory/index.js';
import type { ConfigurationHolder } from '../../holder/ConfigurationHolder/index.js';
import { createLocalServerRoutes } from '../../localServers/index.js';
import type { LocalServers } from '../../localServers/index.js';
import type { MetricsRegistry } from '../../metrics/index.js';
import { explainRoute } from './explainRoute.js';
import type { VersionExplainer } from './explainRoute.js';

export interface LocalApiComponents {
  link: NodeLink;
  holder: ConfigurationHolder;
  directory: EndpointDirectory;
  localServers: LocalServers;
  metrics: MetricsRegistry;
  /** Choice of software versions; undefined without roll-outs. */
  versions?: VersionExplainer;
}

/** Creates the app served on `local_listen`: announcements, metrics, health and `/explain`. */
export const createLocalApi = (components: LocalApiComponents): Hono => {
  const { holder, directory, localServers, metrics } = components;
  const app = new Hono();
  app.route('/', createLocalServerRoutes(localServers));
  app.get('/metrics', (context) => context.text(metrics.render()));
  app.get('/healthz', (context) => {
    const version = holder.current()?.version ?? 0;
    const readiness = components.link.isReadyToServe(Date.now());
    const isServing = readiness.isOk() && !localServers.isDraining;
    const reason = readiness.isOk() ? readiness.value : readiness.error.message;
    return context.json({ isServing, version, reason }, isServing ? 200 : 503);
  });
  app.get('/explain', (context) => {
    const { host = '*', path = '/', method = 'GET' } = context.req.query();
    const query = { host, path, method };
    return context.json(explainRoute(holder.current(), directory, query, components.versions));
  });
  return app;
};
