/** Retry budgets per service. */
export { default as FixedRetryBudget } from './FixedRetryBudget.js';
export { default as RatioRetryBudget } from './RatioRetryBudget.js';
export { default as SharedRetryBudget } from './SharedRetryBudget.js';
export { RetryBudget } from './RetryBudget.js';
export type { RetryBudgetOptions } from './RetryBudget.js';
