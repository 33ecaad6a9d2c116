/** Access to results that a test expects to be of one kind. */
import type { Result } from 'neverthrow';

/**
 * Returns the value of a result.
 *
 * @throws the error, when the result is one
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
