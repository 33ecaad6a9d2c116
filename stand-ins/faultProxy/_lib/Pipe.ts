import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';
import { Direction, LinkFault } from './types.js';

import type { LinkSettings } from './types.js';

const BLOCKING_FAULTS: Record<Direction, LinkFault[]> = {
  [Direction.ToTarget]: [LinkFault.HalfOpen, LinkFault.OnlyToClient],
  [Direction.ToClient]: [LinkFault.HalfOpen, LinkFault.OnlyToTarget],
};

export interface PipeOptions {
  readSettings: () => LinkSettings;
  random: () => number;
  /** Returns how many of the bytes may still pass to the client; the rest closes the connection. */
  takeAllowance: (bytes: number) => number;
  countBytes: (bytes: number) => void;
}

/** Copies one direction of a connection in order, under the current settings of the link. */
export class Pipe {
  readonly #from: Socket;

  readonly #to: Socket;

  readonly #direction: Direction;

  readonly #options: PipeOptions;

  #release: (() => void) | undefined;

  constructor(from: Socket, to: Socket, direction: Direction, options: PipeOptions) {
    this.#from = from;
    this.#to = to;
    this.#direction = direction;
    this.#options = options;
  }

  /** Makes a blocked pipe check the settings again. */
  wake(): void {
    this.#release?.();
  }

  /** Copies until either end closes. A blocked link holds its bytes, as TCP does in an outage. */
  async run(): Promise<void> {
    for await (const chunk of this.#from) {
      await this.#waitUntilOpen();
      const { delayMs, jitterMs } = this.#options.readSettings();
      const waitMs = delayMs + this.#options.random() * jitterMs;
      if (waitMs > 0) await sleep(waitMs);
      if (!(await this.#forward(chunk as Buffer))) return;
    }
    await this.#waitUntilOpen();
    this.#to.end();
  }

  async #waitUntilOpen(): Promise<void> {
    while (BLOCKING_FAULTS[this.#direction].includes(this.#options.readSettings().fault)) {
      await new Promise<void>((resolve) => {
        this.#release = resolve;
      });
    }
  }

  async #forward(chunk: Buffer): Promise<boolean> {
    const allowed =
      this.#direction === Direction.ToClient
        ? this.#options.takeAllowance(chunk.length)
        : chunk.length;
    this.#options.countBytes(allowed);
    const part = chunk.subarray(0, allowed);
    if (allowed < chunk.length) {
      this.#to.end(part);
      this.#from.destroy();
      return false;
    }
    if (!this.#to.write(part)) {
      await new Promise<void>((resolve) => {
        this.#to.once('drain', resolve);
        this.#to.once('close', resolve);
      });
    }
    return !this.#to.destroyed;
  }
}
