/** The state of a node record that decides which of two records is newer. */
export interface Stamp {
  incarnation: bigint;
  sequence: number;
}

/**
 * Orders two states of one node record.
 *
 * @returns a positive number when `left` is newer, 0 when both are the same state
 */
export const compareStamps = (left: Stamp, right: Stamp): number => {
  if (left.incarnation !== right.incarnation) return left.incarnation > right.incarnation ? 1 : -1;
  return left.sequence - right.sequence;
};
