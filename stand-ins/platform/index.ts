/** Stand-in for the platform, built from its protocol: machines, workers, clients and operators. */
export { default as PlatformCluster } from './PlatformCluster.js';
export { default as PlatformMachine, PLATFORM_PORTS, PlatformProgram } from './PlatformMachine.js';
export { default as PlatformWorker } from './PlatformWorker.js';
export { default as readRuntimeOptions } from './readRuntimeOptions.js';
export { callControl, createConfigurationDocument, sendAttempt } from './clients.js';
export type { AttemptReply, ControlReply } from './clients.js';
export type { WorkerRun } from './PlatformWorker.js';
