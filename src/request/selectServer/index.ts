/** Selection of the backend server for a request. */
export { default as ExpectedCostSelector } from './ExpectedCostSelector.js';
export { default as RoundRobinSelector } from './RoundRobinSelector.js';
export { default as LeastDelaySelector } from './LeastDelaySelector.js';
export type { LeastDelaySelectorOptions } from './LeastDelaySelector.js';
export { SelectionReason, ServerSelector } from './ServerSelector.js';
export { default as TwoChoicesSelector } from './TwoChoicesSelector.js';
export type { TwoChoicesSelectorOptions } from './TwoChoicesSelector.js';
export type { ExpectedAnswer, Selection, SelectionContext } from './ServerSelector.js';
