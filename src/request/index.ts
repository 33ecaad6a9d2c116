/** Request routing and forwarding on a node. */
export { RequestServer } from './RequestServer/index.js';
export {
  LeastDelaySelector,
  RoundRobinSelector,
  SelectionReason,
  ServerSelector,
  TwoChoicesSelector,
} from './selectServer/index.js';
export type {
  RequestAddresses,
  RequestDirectory,
  RequestServerOptions,
} from './RequestServer/index.js';
export { RefusalReason, RequestOutcome } from './_lib/writeRefusal.js';
export { default as Placement } from './placement/index.js';
export { SharedRetryBudget } from './budgetRetries/index.js';
export type { Refusal } from './_lib/writeRefusal.js';
export type { Selection, SelectionContext } from './selectServer/index.js';
