/** Finds the end of a body in received bytes, so that no request behind it is parsed with it. */
export default abstract class BodyEnd {
  /**
   * Returns how many of the bytes belong to the body. They count as passed on.
   *
   * @param bytes - received since those that were passed on before
   */
  abstract pass(bytes: Buffer): number;
}
