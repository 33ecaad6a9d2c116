/** Admission policies for the slots of a server. */
export { AdmissionPolicy } from './AdmissionPolicy.js';
export { default as FairSharePolicy } from './FairSharePolicy.js';
export { default as ExpectedCostPolicy } from './ExpectedCostPolicy.js';
export { default as ObjectivePolicy } from './ObjectivePolicy.js';
export { default as QuickFirstPolicy } from './QuickFirstPolicy.js';
export type { SlotDemand, WaitingRequest } from './AdmissionPolicy.js';
