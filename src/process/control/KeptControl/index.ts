import { setTimeout as sleep } from 'node:timers/promises';

import { ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import type { DaemonError } from '../../daemon/DaemonError/index.js';
import { createLogger } from '../../log/index.js';
import waitForWritableDisk from '../waitForWritableDisk/index.js';

const log = createLogger('control');

/** Pause before a failed attempt to reopen a control VM is repeated. */
const RETRY_DELAY_MS = 500;

/** An open control VM. */
export interface ControlInstance {
  /** Returns whether its storage has failed; it stays inactive from then on. */
  hasFailed: () => boolean;
  close: () => Promise<void>;
}

/**
 * A control VM that is reopened in the same process once a disk that failed a write is writable again.
 *
 * No write may be repeated after a failed one, so the member reads its log from the disk anew, as after
 * a restart of the process.
 */
export default class KeptControl<Instance extends ControlInstance> {
  readonly #dataFolder: string;

  readonly #open: () => Promise<Result<Instance, DaemonError>>;

  #current: Instance;

  #isClosing = false;

  #isOpen = true;

  readonly #watching: Promise<void>;

  private constructor(
    dataFolder: string,
    open: () => Promise<Result<Instance, DaemonError>>,
    first: Instance,
  ) {
    this.#dataFolder = dataFolder;
    this.#open = open;
    this.#current = first;
    this.#watching = this.#watch();
  }

  /**
   * Opens a control VM.
   *
   * @param dataFolder - data folder of its log
   * @param open - opens it, at the start and again after each failure of its storage
   * @returns the control VM; the error of the first attempt to open it otherwise
   */
  static async open<Instance extends ControlInstance>(
    dataFolder: string,
    open: () => Promise<Result<Instance, DaemonError>>,
  ): Promise<Result<KeptControl<Instance>, DaemonError>> {
    const first = await open();
    return first.andThen((instance) => ok(new KeptControl(dataFolder, open, instance)));
  }

  /** The instance that was opened last. */
  get current(): Instance {
    return this.#current;
  }

  /** Closes the control VM for good. */
  async close(): Promise<void> {
    this.#isClosing = true;
    const closed = this.#current;
    if (this.#isOpen) await closed.close();
    await this.#watching;
    // It may have been reopened meanwhile.
    if (this.#current !== closed) await this.#current.close();
  }

  async #watch(): Promise<void> {
    const isClosing = (): boolean => this.#isClosing;
    while (!this.#isClosing) {
      await waitForWritableDisk(this.#dataFolder, () => this.#current.hasFailed(), isClosing);
      if (!this.#isClosing) await this.#reopen();
    }
  }

  async #reopen(): Promise<void> {
    this.#isOpen = false;
    await this.#current.close();
    while (!this.#isOpen && !this.#isClosing) {
      const opened = await this.#open();
      if (opened.isOk()) {
        this.#current = opened.value;
        this.#isOpen = true;
        log.info({ dataFolder: this.#dataFolder }, 'control VM reopened');
      } else {
        log.error({ reason: opened.error.message }, 'reopening the control VM failed');
        await sleep(RETRY_DELAY_MS);
      }
    }
  }
}
