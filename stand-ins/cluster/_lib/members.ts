import { mkdirSync, rmSync } from 'node:fs';

import { OperatorClient } from './OperatorClient.js';

import type { FaultProxy } from '../../faultProxy/index.js';
import type ManagedProcess from './ManagedProcess.js';

interface ControlMemberOptions {
  name: string;
  dataCentre: string;
  process: ManagedProcess;
  dataFolder: string;
  /** Address that other processes connect to: the proxy's, or the listener's without a proxy. */
  address: string;
  operatorUrl: string;
  token: string;
  proxy: FaultProxy | undefined;
}

/** A control VM of a test cluster. */
export class ControlMember {
  readonly name: string;

  readonly dataCentre: string;

  readonly process: ManagedProcess;

  readonly address: string;

  /** Base URL of `operator_listen`. */
  readonly operatorUrl: string;

  readonly operator: OperatorClient;

  /** `host:port` of the operator API. */
  readonly operatorAddress: string;

  readonly proxy: FaultProxy | undefined;

  readonly #dataFolder: string;

  constructor(options: ControlMemberOptions) {
    this.name = options.name;
    this.dataCentre = options.dataCentre;
    this.process = options.process;
    this.address = options.address;
    this.operatorUrl = options.operatorUrl;
    this.operatorAddress = new URL(options.operatorUrl).host;
    this.operator = new OperatorClient(options.operatorUrl, options.token);
    this.proxy = options.proxy;
    this.#dataFolder = options.dataFolder;
  }

  /**
   * Empties the data folder of a stopped control VM.
   *
   * @throws Error while the control VM is running
   */
  wipeDisk(): void {
    if (this.process.isRunning) throw new Error(`${this.name} is still running`);
    rmSync(this.#dataFolder, { recursive: true });
    mkdirSync(this.#dataFolder);
  }
}

/** A node of a test cluster. */
export interface NodeMember {
  name: string;
  dataCentre: string;
  process: ManagedProcess;
  /** Base URL for callers. */
  url: string;
  /** Base URL of `local_listen`. */
  localUrl: string;
  forwardListen: string;
  peerListen: string;
  /** Proxy in front of `forward_listen`, for requests from other nodes. */
  forwardProxy: FaultProxy | undefined;
  /** Proxy in front of `peer_listen`. */
  peerProxy: FaultProxy | undefined;
}

/** A backend server of a test cluster. */
export interface BackendMember {
  serverId: string;
  node: NodeMember;
  process: ManagedProcess;
  recordFile: string;
  /** Base URL of the admin endpoint of the current run. */
  adminUrl: string;
  proxy: FaultProxy | undefined;
}
