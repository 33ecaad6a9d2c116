/** Library entry point: types of the configuration and its content hash. */
export type {
  Configuration,
  Route,
  Service,
} from './_generated/foxtailvane/v1/configuration_pb.js';
export { hashConfiguration } from './version/hashConfiguration/index.js';
