/** Operator that sends changes until one is acknowledged; versions rise with each call. */
import { createConfigurationDocument } from '../../stand-ins/platform/index.js';
import type { PlatformCluster } from '../../stand-ins/platform/index.js';

export default class Operator {
  readonly #platform: PlatformCluster;

  readonly #services: string[];

  #version = 0;

  #lastChange = Promise.resolve();

  constructor(platform: PlatformCluster, services: string[]) {
    this.#platform = platform;
    this.#services = services;
  }

  /** Sends a change once the one before it is acknowledged. */
  change(): Promise<void> {
    this.#lastChange = this.#lastChange.then(async () => {
      const base = this.#version;
      this.#version += 1;
      await this.#platform.applyConfiguration(
        createConfigurationDocument(this.#version, base, this.#services),
      );
    });
    return this.#lastChange;
  }
}
