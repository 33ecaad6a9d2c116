/** Unwraps results in tests that expect a success or an error. */
import type { Result } from 'neverthrow';

/**
 * Returns the value of a result.
 *
 * @throws the error of the result
 */
export const expectOk = <Value, Failure>(result: Result<Value, Failure>): Value =>
  result.match(
    (value) => value,
    (error) => {
      throw error instanceof Error ? error : new Error(String(error));
    },
  );

/**
 * Returns the error of a result.
 *
 * @throws when the result is a success
 */
export const expectError = <Value, Failure>(result: Result<Value, Failure>): Failure =>
  result.match(
    () => {
      throw new Error('expected an error, got a success');
    },
    (error) => error,
  );
