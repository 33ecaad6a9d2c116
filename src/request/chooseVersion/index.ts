export { default as AnyVersionPolicy } from './AnyVersionPolicy.js';
export { default as RolloutPolicy } from './RolloutPolicy.js';
export { Reach, VersionPolicy } from './VersionPolicy.js';
export { VersionReason } from './_lib/decideVersion.js';
export type { RolloutPolicyOptions, VersionExplanation } from './RolloutPolicy.js';
export type { VersionChoice } from './VersionPolicy.js';
