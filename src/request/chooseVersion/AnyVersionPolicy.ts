import { VersionReason } from './_lib/decideVersion.js';
import { VersionPolicy } from './VersionPolicy.js';

import type { ServerEntry } from '../../process/endpoints/types.js';
import type { VersionChoice } from './VersionPolicy.js';

/** Uses all servers, whatever their version; for deployments without roll-outs. */
export default class AnyVersionPolicy extends VersionPolicy {
  override choose(_service: string, live: ServerEntry[]): VersionChoice {
    const reason = VersionReason.AnyVersion;
    return { entries: live, softwareVersion: undefined, reason, exposure: undefined };
  }

  override charge(): void {
    // Without roll-outs there is no share.
  }

  override recordAttempt(): void {
    // Without roll-outs there is no share.
  }
}
