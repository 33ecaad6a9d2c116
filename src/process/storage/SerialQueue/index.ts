/** Runs asynchronous operations one after the other, in the order of the calls. */
export default class SerialQueue {
  #last: Promise<unknown> = Promise.resolve();

  /** Runs the operation after all earlier ones have settled. */
  run<T>(operation: () => Promise<T>): Promise<T> {
    const result = this.#last.then(operation);
    this.#last = result.catch(() => undefined);
    return result;
  }
}
