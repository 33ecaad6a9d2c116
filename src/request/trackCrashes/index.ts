/** Requests that crash the servers that run them. */
export { CrashDetector } from './CrashDetector.js';
export { CrashLedger, TrialOutcome } from './CrashLedger.js';
export type { LostRequest } from './CrashDetector.js';
