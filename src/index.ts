/** Library entry point: everything that the daemons and the command line are built from. */
export type {
  Configuration,
  Route,
  Service,
} from './_generated/foxtailvane/v1/configuration_pb.js';
export { hashConfiguration } from './version/hashConfiguration/index.js';
