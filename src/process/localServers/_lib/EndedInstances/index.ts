/** Server instance at an address. */
export interface ServerInstance {
  serverId: string;
  bornAtMs: number;
}

/** Instances that ended, the newest per address, so that a late announcement does not add one again. */
export class EndedInstances {
  readonly #newestByAddress = new Map<string, ServerInstance>();

  /** The last end per address of an instance whose start time is unknown. */
  readonly #undatedByAddress = new Map<string, { serverId: string; endedAtMs: number }>();

  /**
   * Records the end of an instance, unless a newer one at the address has ended already.
   *
   * @param address - `IP:port` of the instance
   * @param instance - its id and start time
   */
  record(address: string, instance: ServerInstance): void {
    const newest = this.#newestByAddress.get(address);
    if (!newest || instance.bornAtMs >= newest.bornAtMs) {
      this.#newestByAddress.set(address, instance);
    }
  }

  /**
   * Records the end of an instance whose start time is unknown: of all starts under its id until then.
   *
   * @param address - `IP:port` of the instance
   * @param serverId - its id
   * @param endedAtMs - time of its end, on the clock of the start times
   */
  recordUndated(address: string, serverId: string, endedAtMs: number): void {
    this.#undatedByAddress.set(address, { serverId, endedAtMs });
  }

  /**
   * Returns whether an instance has ended, by itself or because a newer one has.
   *
   * @param address - `IP:port` of the instance
   * @param instance - its id and start time
   */
  has(address: string, { serverId, bornAtMs }: ServerInstance): boolean {
    const undated = this.#undatedByAddress.get(address);
    if (undated?.serverId === serverId && bornAtMs <= undated.endedAtMs) return true;
    const newest = this.#newestByAddress.get(address);
    if (!newest) return false;
    const isNewest = serverId === newest.serverId && bornAtMs === newest.bornAtMs;
    return isNewest || bornAtMs < newest.bornAtMs;
  }

  /**
   * Returns whether the newest instance that ended at an address had this id. It may have started
   * again since under the same id.
   *
   * @param address - `IP:port` of the instance
   * @param serverId - its id
   */
  hasId(address: string, serverId: string): boolean {
    return [this.#newestByAddress, this.#undatedByAddress].some(
      (ends) => ends.get(address)?.serverId === serverId,
    );
  }
}
