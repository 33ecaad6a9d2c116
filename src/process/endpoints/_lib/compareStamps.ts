/** Position of a node record in its history; the greater (incarnation, sequence) is newer. */
export interface Stamp {
  incarnation: bigint;
  sequence: number;
}

/**
 * Compares the stamps of two records of the same node.
 *
 * @returns a positive number when `left` is newer, a negative one when it is older, 0 when both are
 *   equal
 */
export const compareStamps = (left: Stamp, right: Stamp): number => {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation ? 1 : -1;
  return left.sequence - right.sequence;
};
