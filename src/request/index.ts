/** The request path of a node. */
export { RequestServer } from './RequestServer/index.js';
export {
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
export type { Selection, SelectionContext } from './selectServer/index.js';
