import { probeControl } from './probeControl.js';

import type { TlsMaterial } from '../../openTransport/index.js';
import type { ControlTarget } from '../NodeLink/types.js';
import type { PeerGossip, PeerPollResult } from '../PeerGossip/index.js';

export interface VersionPollOptions {
  controls: ControlTarget[];
  gossip: PeerGossip;
  callTimeoutMs: number;
  tls: () => TlsMaterial | undefined;
}

/** Polls the control VMs for their versions and, without a majority of them, the peers of a node. */
export default class VersionPoll {
  readonly #options: VersionPollOptions;

  #controls: ControlTarget[];

  #majorityVersion: number | undefined;

  #newestTarget: ControlTarget | undefined;

  #peerResult: PeerPollResult | undefined;

  constructor(options: VersionPollOptions) {
    this.#options = options;
    this.#controls = options.controls;
  }

  /** Replaces the list of control VMs. */
  setControls(controls: ControlTarget[]): void {
    this.#controls = controls;
  }

  /** Newest version in the responses; undefined unless a majority of control VMs responded. */
  get majorityVersion(): number | undefined {
    return this.#majorityVersion;
  }

  /** A control VM that holds the newest version in the responses. */
  get newestTarget(): ControlTarget | undefined {
    return this.#newestTarget;
  }

  /** Responses of the peers to the last poll. */
  get peerResult(): PeerPollResult | undefined {
    return this.#peerResult;
  }

  /** Polls all control VMs; every majority has a member that holds the newest committed version. */
  async pollControls(signal: AbortSignal): Promise<void> {
    const { tls, callTimeoutMs } = this.#options;
    const controls = this.#controls;
    const options = { tls: tls(), timeoutMs: callTimeoutMs, signal };
    const answers = await Promise.all(
      controls.map(async (target) => {
        const answer = await probeControl(target.address, options);
        return answer.map(({ version }) => ({ target, version })).unwrapOr(undefined);
      }),
    );
    const reached = answers.flatMap((answer) => answer ?? []);
    const hasMajority = reached.length * 2 > controls.length;
    const [newest] = reached.toSorted((left, right) => right.version - left.version);
    this.#majorityVersion = hasMajority ? newest?.version : undefined;
    this.#newestTarget = newest?.target;
  }

  /** Polls all known peers. */
  async pollPeers(): Promise<void> {
    this.#peerResult = await this.#options.gossip.pollPeers();
  }
}
