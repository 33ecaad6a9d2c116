import Wakeup from './Wakeup.js';

/** Queue of the messages to send on a stream, in the order in which they were added. */
export default class MessageQueue<Message> {
  #messages: Message[] = [];

  #isClosed = false;

  readonly #wakeup = new Wakeup();

  /** Adds a message; ignored after `close`. */
  push(message: Message): void {
    if (this.#isClosed) return;
    this.#messages.push(message);
    this.#wakeup.set();
  }

  /** Ends the iteration after the messages added so far. */
  close(): void {
    this.#isClosed = true;
    this.#wakeup.set();
  }

  /** Yields the messages until the queue is closed. */
  async *iterate(): AsyncGenerator<Message> {
    while (true) {
      const messages = this.#messages;
      this.#messages = [];
      yield* messages;
      if (this.#messages.length === 0) {
        if (this.#isClosed) return;
        await this.#wakeup.wait();
      }
    }
  }
}
