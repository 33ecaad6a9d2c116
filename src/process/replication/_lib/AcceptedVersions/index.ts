import { create, fromBinary } from '@bufbuild/protobuf';

import { ConfigurationSchema } from '../../../../_generated/foxtailvane/v1/configuration_pb.js';
import { AcceptedVersionSchema } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { AcceptedVersion } from '../../../../_generated/foxtailvane/v1/replication_pb.js';
import type { CommittedConfiguration, VersionHolder } from '../../ControlLog/index.js';

/**
 * Reports whether the base version of a change is the newest version. A change without a base
 * version is based on any.
 *
 * @param newestVersion - number of the newest version, 0 for none
 */
export const hasNewestBase = ({ baseVersion }: AcceptedVersion, newestVersion: number): boolean =>
  baseVersion === undefined || baseVersion === newestVersion;

/** Converts an accepted version to the description of its holder. */
export const toHolder = (accepted: AcceptedVersion): VersionHolder => ({
  version: accepted.version,
  contentHash: Buffer.from(accepted.contentHash).toString('hex'),
  operator: accepted.operator,
  requestId: accepted.requestId,
  acceptedAtMs: Number(accepted.acceptedAtMs),
});

const toCommitted = (accepted: AcceptedVersion): CommittedConfiguration => ({
  configuration: fromBinary(ConfigurationSchema, accepted.configuration),
  holder: toHolder(accepted),
  logIndex: accepted.logIndex,
  ...(accepted.document.length > 0 && { document: accepted.document }),
});

/**
 * The accepted versions as of the last applied entry. Holders are kept for all versions;
 * configurations only up to a limit, the oldest are dropped first. Configurations stay encoded,
 * because only the deltas of a few versions are computed from them.
 */
export class AcceptedVersions {
  readonly #maxConfigurations: number;

  /** In ascending order, since versions are accepted in ascending order. */
  #byVersion = new Map<number, AcceptedVersion>();

  #configuredVersions: number[] = [];

  #newest: AcceptedVersion | undefined;

  #newestCommitted: CommittedConfiguration | undefined;

  /** The version before, which most nodes hold when a new one is accepted. */
  #previousCommitted: CommittedConfiguration | undefined;

  /** @param maxConfigurations - highest number of configurations kept */
  constructor(maxConfigurations: number) {
    this.#maxConfigurations = maxConfigurations;
  }

  get newest(): AcceptedVersion | undefined {
    return this.#newest;
  }

  /**
   * Applies a committed version.
   *
   * @returns false if the version is not higher than the newest, or is not based on the newest
   */
  apply(accepted: AcceptedVersion, logIndex: number): boolean {
    const newestVersion = this.#newest?.version ?? 0;
    if (accepted.version <= newestVersion || !hasNewestBase(accepted, newestVersion)) return false;
    this.#add(create(AcceptedVersionSchema, { ...accepted, logIndex }));
    return true;
  }

  find(version: number): AcceptedVersion | undefined {
    return this.#byVersion.get(version);
  }

  newestCommitted(): CommittedConfiguration | undefined {
    if (this.#newest && this.#newestCommitted?.holder.version !== this.#newest.version) {
      this.#previousCommitted = this.#newestCommitted;
      this.#newestCommitted = toCommitted(this.#newest);
    }
    return this.#newestCommitted;
  }

  committedVersion(version: number): CommittedConfiguration | undefined {
    if (version === this.#newest?.version) return this.newestCommitted();
    const known = [this.#previousCommitted, this.#newestCommitted].find(
      (committed) => committed?.holder.version === version,
    );
    if (known) return known;
    const accepted = this.#byVersion.get(version);
    return accepted && accepted.configuration.length > 0 ? toCommitted(accepted) : undefined;
  }

  /** Returns all accepted versions, oldest first. */
  list(): AcceptedVersion[] {
    return [...this.#byVersion.values()];
  }

  /** Replaces all versions with those of a snapshot. */
  replace(accepted: AcceptedVersion[]): void {
    this.#byVersion = new Map();
    this.#configuredVersions = [];
    this.#newest = undefined;
    this.#newestCommitted = undefined;
    this.#previousCommitted = undefined;
    accepted.forEach((version) => this.#add(version));
  }

  #add(accepted: AcceptedVersion): void {
    this.#dropNewestDocument();
    this.#byVersion.set(accepted.version, accepted);
    this.#newest = accepted;
    if (accepted.configuration.length > 0) this.#configuredVersions.push(accepted.version);
    if (this.#configuredVersions.length > this.#maxConfigurations) this.#dropOldestConfiguration();
  }

  /** Drops the document of the newest version, since documents are read for the newest only. */
  #dropNewestDocument(): void {
    if (!this.#newest || this.#newest.document.length === 0) return;
    const { version } = this.#newest;
    const document = new Uint8Array(0);
    this.#byVersion.set(version, create(AcceptedVersionSchema, { ...this.#newest, document }));
  }

  #dropOldestConfiguration(): void {
    const oldest = this.#byVersion.get(this.#configuredVersions.shift() ?? 0);
    if (!oldest) return;
    // Copies the hash, so that the memory of the log entry can be freed.
    const holder = create(AcceptedVersionSchema, {
      ...oldest,
      contentHash: new Uint8Array(oldest.contentHash),
      configuration: new Uint8Array(0),
    });
    this.#byVersion.set(oldest.version, holder);
  }
}
