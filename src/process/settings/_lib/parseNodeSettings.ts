import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { SettingsError, SettingsErrorCode } from '../SettingsError.js';
import { resolveLogSettings, resolveTlsPaths } from './parseControlSettings.js';
import { isWildcard } from './fields.js';
import createQuotaBounds from './createQuotaBounds.js';
import { parseIni } from './parseIni.js';
import { findSectionFaults, parseSection } from './parseSection.js';
import {
  controlAddressesSchema,
  logSchema,
  nodeSchema,
  quotasSchema,
  requestsSchema,
  tlsSchema,
} from './sectionSchemas.js';

import type { SettingsFault } from '../SettingsError.js';
import type { ControlAddresses, NodeSettings, RequestSettings } from '../types.js';
import type { ParseSettingsOptions } from './parseControlSettings.js';
import type { Sections } from './parseIni.js';

const LISTEN_KEYS = ['listen', 'forward_listen', 'peer_listen', 'local_listen'];
const REQUIRED_SECTIONS = ['node', 'control'];
const OPTIONAL_SECTIONS = ['tls', 'log', 'requests', 'quotas'];

/** Addresses in `[node]` by key. */
type NodeAddresses = Record<string, string | undefined>;

/** A wildcard listener requires an explicit address for other nodes to connect to. */
const findMissingAddresses = (node: NodeAddresses): SettingsFault[] =>
  ['forward', 'peer']
    .filter((prefix) => isWildcard(node[`${prefix}_listen`] ?? ''))
    .filter((prefix) => node[`${prefix}_address`] === undefined)
    .map((prefix) => ({
      section: 'node',
      key: `${prefix}_address`,
      value: '',
      expected: `the address that other nodes connect to, because ${prefix}_listen is a wildcard`,
    }));

const findDuplicateListeners = (node: NodeAddresses): SettingsFault[] =>
  LISTEN_KEYS.filter(
    (key, index) =>
      node[key] !== undefined &&
      LISTEN_KEYS.slice(0, index).some((earlier) => node[earlier] === node[key]),
  ).map((key) => ({
    section: 'node',
    key,
    value: node[key] ?? '',
    expected: 'an address that no other listener has',
  }));

const findDuplicateControlAddresses = (control: ControlAddresses[]): SettingsFault[] =>
  control.flatMap(({ dataCentre, addresses }, index) =>
    addresses
      .filter((address) =>
        control.slice(0, index).some((earlier) => earlier.addresses.includes(address)),
      )
      .map((address) => ({
        section: 'control',
        key: dataCentre,
        value: address,
        expected: 'an address that no other data centre has',
      })),
  );

const listControlAddresses = (control: Record<string, string[]>): ControlAddresses[] =>
  Object.entries(control).map(([dataCentre, addresses]) => ({ dataCentre, addresses }));

const findMissingControls = (control: ControlAddresses[]): SettingsFault[] =>
  control.length > 0
    ? []
    : [{ section: 'control', key: '', value: '', expected: 'at least one control VM' }];

const parseNodeSections = (sections: Sections) => ({
  node: parseSection(sections, 'node', nodeSchema),
  control: parseSection(sections, 'control', controlAddressesSchema),
  tls: parseSection(sections, 'tls', tlsSchema),
  log: parseSection(sections, 'log', logSchema),
  requests: parseSection(sections, 'requests', requestsSchema),
  quotas: parseSection(sections, 'quotas', quotasSchema),
});

type RequestsSection = ReturnType<typeof parseNodeSections>['requests'];

const createRequestSettings = ({ value }: RequestsSection): RequestSettings => ({
  ...(value?.idempotency_retention_ms === undefined
    ? {}
    : { idempotencyRetentionMs: value.idempotency_retention_ms }),
  ...(value?.queue_per_slot === undefined ? {} : { queuePerSlot: value.queue_per_slot }),
  ...(value?.placement === undefined ? {} : { placement: value.placement }),
  ...(value?.probe_interval_ms === undefined ? {} : { probeIntervalMs: value.probe_interval_ms }),
  ...(value?.rollouts === undefined ? {} : { hasRollouts: value.rollouts }),
});

/**
 * Parses the settings of a node without checking the files they refer to.
 *
 * @param text - content of the INI file
 * @param options - folder that relative paths are resolved against
 * @returns the settings, or an error with all faults
 */
const parseNodeSettings = (
  text: string,
  options: ParseSettingsOptions,
): Result<NodeSettings, SettingsError> => {
  const { baseFolder } = options;
  const ini = parseIni(text);
  const read = parseNodeSections(ini.sections);
  const node = read.node.value;
  const { peer_seeds: peerSeeds = [], ...addresses } = node ?? {};
  const control = listControlAddresses(read.control.value ?? {});
  const faults = [
    ...ini.faults,
    ...findSectionFaults(ini.sections, REQUIRED_SECTIONS, OPTIONAL_SECTIONS),
    ...Object.values(read).flatMap((section) => section.faults),
    ...findDuplicateListeners(addresses),
    ...findMissingAddresses(addresses),
    ...(read.control.value ? findMissingControls(control) : []),
    ...findDuplicateControlAddresses(control),
  ];
  if (faults.length > 0 || !node) {
    return err(new SettingsError(SettingsErrorCode.Invalid, faults));
  }
  return ok({
    name: node.name,
    dataCentre: node.data_centre,
    region: node.region,
    listen: node.listen,
    forwardListen: node.forward_listen,
    peerListen: node.peer_listen,
    forwardAddress: node.forward_address ?? node.forward_listen,
    peerAddress: node.peer_address ?? node.peer_listen,
    localListen: node.local_listen,
    peerSeeds,
    control,
    ...(read.tls.value ? { tls: resolveTlsPaths(read.tls.value, baseFolder) } : {}),
    log: resolveLogSettings(read.log.value, baseFolder),
    requests: createRequestSettings(read.requests),
    ...createQuotaBounds(read.quotas.value),
  });
};

export default parseNodeSettings;
