/** The users' platform as its protocol describes it: machines, workers and an operator. */
export { default as PlatformMachine, PLATFORM_PORTS, PlatformProgram } from './PlatformMachine.js';
export { default as PlatformWorker } from './PlatformWorker.js';
export {
  callControl,
  createConfigurationDocument as createConfigurationDocument,
  sendAttempt,
} from './clients.js';
export type { AttemptReply, ControlReply } from './clients.js';
export type { WorkerRun } from './PlatformWorker.js';
