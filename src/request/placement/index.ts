/** How a node chooses servers, and lets requests in to them. */
enum Placement {
  /** By the reported share of slots in use and the mean hold time. */
  LeastDelay = 'least-delay',
  /** By what requests are expected to cost and what each server still has to do. */
  ExpectedCost = 'expected-cost',
}

export default Placement;
