/**
 * Lists the values of a header that may be repeated.
 *
 * @param headers - alternating names and values
 * @param name - lower-case name
 * @returns the values in order; empty when there is none
 */
const listHeaderValues = (headers: readonly string[], name: string): string[] =>
  headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name);

export default listHeaderValues;
