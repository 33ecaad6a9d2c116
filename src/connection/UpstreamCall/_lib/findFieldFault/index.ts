import { validateHeaderName, validateHeaderValue } from 'node:http';

/**
 * Finds a field that Node.js would refuse to send, because of its name or of control characters.
 *
 * @param fields - alternating names and values
 * @returns what is wrong with the first such field; undefined if all can be sent
 *
 * @example
 * findFieldFault(['x-a', 'line\nbreak']); // Invalid character in header content ["x-a"]
 */
const findFieldFault = (fields: readonly string[]): Error | undefined => {
  try {
    fields.forEach((part, index) => {
      if (index % 2 === 0) validateHeaderName(part);
      else validateHeaderValue(fields[index - 1] ?? '', part);
    });
    return undefined;
  } catch (error) {
    return error as Error;
  }
};

export default findFieldFault;
