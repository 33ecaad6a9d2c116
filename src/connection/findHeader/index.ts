/**
 * Finds the value of a header.
 *
 * @param headers - alternating names and values
 * @param name - lower-case name
 * @returns the first value; undefined when there is none
 */
const findHeader = (headers: readonly string[], name: string): string | undefined => {
  const index = headers.findIndex(
    (line, position) => position % 2 === 0 && line.toLowerCase() === name,
  );
  return index < 0 ? undefined : headers[index + 1];
};

export default findHeader;
