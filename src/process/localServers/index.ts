/** The backend servers that a node serves: announcements, leases, probes and slots. */
export {
  AdmissionPolicy,
  FairSharePolicy,
  ExpectedCostPolicy,
  ObjectivePolicy,
  QuickFirstPolicy,
} from './AdmissionPolicy/index.js';
export { AnnouncementError, AnnouncementErrorCode } from './AnnouncementError/index.js';
export { AdaptiveLimiter, ConcurrencyLimiter, FixedLimiter } from './ConcurrencyLimiter/index.js';
export { LocalServers, computeLoad, computeOccupancy } from './LocalServers/index.js';
export { default as RouteCosts } from './RouteCosts/index.js';
export { RouteLatencies } from './RouteLatencies/index.js';
export { default as ServerWork } from './ServerWork/index.js';
export { ServerProbes } from './ServerProbes/index.js';
export { GateRefusal, SlotGate } from './SlotGate/index.js';
export { AnnouncedState, parseAnnouncement } from './_lib/parseAnnouncement.js';
export { default as WorkspaceShares } from './WorkspaceShares/index.js';
export { discoverServer } from './discoverServer/index.js';
export type { ExpectedServer } from './discoverServer/index.js';
export { createLocalServerRoutes } from './createLocalServerRoutes/index.js';
export type {
  LoadHint,
  LocalServer,
  LocalServersOptions,
  ServerNotice,
} from './LocalServers/index.js';
export type { LimiterSample } from './ConcurrencyLimiter/index.js';
export type { SlotDemand } from './SlotGate/index.js';
export type { Announcement } from './_lib/parseAnnouncement.js';
