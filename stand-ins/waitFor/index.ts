import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 20;
// Far above every time limit of the design, so that tests do not fail on an overloaded machine.
const DEFAULT_TIMEOUT_MS = 60_000;

/**
 * Waits until a check yields a value other than undefined or false.
 *
 * @param description - awaited condition, for the error
 * @param check - called every 20 ms; after an error it is retried
 * @param options - timeout in milliseconds
 * @returns the value of the check
 * @throws Error after the timeout, with the last error of the check
 *
 * @example
 * await waitFor('a leader', async () => (await readStatus()).leader);
 */
const waitFor = async <Value>(
  description: string,
  check: () => Promise<Value | undefined | false> | Value | undefined | false,
  options: { timeoutMs?: number } = {},
): Promise<Value> => {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const endsAt = performance.now() + timeoutMs;
  let lastError: unknown;
  while (performance.now() < endsAt) {
    try {
      const value = await check();
      if (value !== undefined && value !== false) return value;
    } catch (error) {
      lastError = error;
    }
    await sleep(POLL_MS);
  }
  const reason = lastError === undefined ? '' : `; last error: ${String(lastError)}`;
  throw new Error(`no ${description} within ${timeoutMs} ms${reason}`);
};

export default waitFor;
