import { resolve } from 'node:path';

import { err, ok } from 'neverthrow';

import type { Result } from 'neverthrow';
import { LogLevel } from '../../log/index.js';
import { DEFAULT_TIMINGS } from '../../replication/_lib/timings/index.js';
import { SettingsError, SettingsErrorCode } from '../SettingsError.js';
import { LogStream } from '../types.js';
import { parseIni } from './parseIni.js';
import { findSectionFaults, parseSection } from './parseSection.js';
import {
  controlSchema,
  logSchema,
  membersSchema,
  operatorSchema,
  quotasSchema,
  rolloutsSchema,
  timingSchema,
  tlsSchema,
} from './sectionSchemas.js';

import createQuotaBounds from './createQuotaBounds.js';

import type { SettingsFault } from '../SettingsError.js';
import type {
  ControlSettings,
  LogSettings,
  MemberSettings,
  TimingSettings,
  TlsSettings,
} from '../types.js';
import type { Sections } from './parseIni.js';

export interface ParseSettingsOptions {
  /** Folder of the settings file; relative paths are resolved against it. */
  baseFolder: string;
}

interface LogSection {
  level?: LogLevel | undefined;
  destination?: string | undefined;
}

/** Resolves the path of the log destination and fills in defaults. */
export const resolveLogSettings = (
  log: LogSection | undefined,
  baseFolder: string,
): LogSettings => {
  const destination = log?.destination ?? LogStream.Stdout;
  const isStream = Object.values<string>(LogStream).includes(destination);
  return {
    level: log?.level ?? LogLevel.Info,
    destination: isStream ? destination : resolve(baseFolder, destination),
  };
};

/** Resolves the paths of `[tls]`. */
export const resolveTlsPaths = (tls: TlsSettings, baseFolder: string): TlsSettings => ({
  key: resolve(baseFolder, tls.key),
  certificate: resolve(baseFolder, tls.certificate),
  ca: resolve(baseFolder, tls.ca),
});

const omitUndefined = <Value extends object>(value: Value): Value =>
  Object.fromEntries(Object.entries(value).filter(([, entry]) => entry !== undefined)) as Value;

const listMembers = (
  members: Record<string, Omit<MemberSettings, 'name'>> | undefined,
): MemberSettings[] => Object.entries(members ?? {}).map(([name, member]) => ({ name, ...member }));

const findDuplicateAddresses = (members: MemberSettings[]): SettingsFault[] =>
  members
    .filter((member, index) =>
      members.slice(0, index).some((earlier) => earlier.address === member.address),
    )
    .map((member) => ({
      section: 'members',
      key: member.name,
      value: member.address,
      expected: 'an address that no other member has',
    }));

const findOwnMemberFaults = (
  name: string,
  dataCentre: string,
  members: MemberSettings[],
): SettingsFault[] => {
  const own = members.find((member) => member.name === name);
  if (!own) {
    const expected = 'an entry for this VM, named like [control] name';
    return [{ section: 'members', key: name, value: '', expected }];
  }
  if (own.dataCentre === dataCentre) return [];
  const expected = `the data centre of [control] data_centre, "${dataCentre}"`;
  return [{ section: 'members', key: name, value: own.dataCentre, expected }];
};

const findListenFaults = (listen: string, operatorListen: string): SettingsFault[] =>
  listen !== operatorListen
    ? []
    : [
        {
          section: 'control',
          key: 'operator_listen',
          value: operatorListen,
          expected: 'an address other than listen',
        },
      ];

/** Checks the effective timings, with defaults in place of absent values. */
const findTimingFaults = (timing: TimingSettings): SettingsFault[] => {
  const effective = { ...DEFAULT_TIMINGS, ...timing };
  const { heartbeatMs, electionTimeoutMinMs, electionTimeoutMaxMs, clockMarginMs } = effective;
  const maxFault = {
    section: 'timing',
    key: 'election_timeout_max_ms',
    value: String(electionTimeoutMaxMs),
    expected: `more than election_timeout_min_ms, which is ${electionTimeoutMinMs}`,
  };
  const minFault = {
    section: 'timing',
    key: 'election_timeout_min_ms',
    value: String(electionTimeoutMinMs),
    expected: `more than heartbeat_ms and clock_margin_ms together, which are ${heartbeatMs + clockMarginMs}`,
  };
  return [
    ...(electionTimeoutMaxMs <= electionTimeoutMinMs ? [maxFault] : []),
    ...(electionTimeoutMinMs <= heartbeatMs + clockMarginMs ? [minFault] : []),
  ];
};

const parseControlSections = (sections: Sections) => ({
  control: parseSection(sections, 'control', controlSchema),
  members: parseSection(sections, 'members', membersSchema),
  operator: parseSection(sections, 'operator', operatorSchema),
  tls: parseSection(sections, 'tls', tlsSchema),
  log: parseSection(sections, 'log', logSchema),
  timing: parseSection(sections, 'timing', timingSchema),
  rollouts: parseSection(sections, 'rollouts', rolloutsSchema),
  quotas: parseSection(sections, 'quotas', quotasSchema),
});

const REQUIRED_SECTIONS = ['control', 'members', 'operator'];
const OPTIONAL_SECTIONS = ['tls', 'log', 'timing', 'rollouts', 'quotas'];

const PERMILLE = 1_000;

/**
 * Parses the settings of a control VM without checking the files they refer to.
 *
 * @param text - content of the INI file
 * @param options - folder that relative paths are resolved against
 * @returns the settings, or an error with all faults
 */
export const parseControlSettings = (
  text: string,
  options: ParseSettingsOptions,
): Result<ControlSettings, SettingsError> => {
  const { baseFolder } = options;
  const ini = parseIni(text);
  const read = parseControlSections(ini.sections);
  const control = read.control.value;
  const rollouts = read.rollouts.value;
  const members = listMembers(read.members.value);
  const timing = omitUndefined<TimingSettings>({
    heartbeatMs: read.timing.value?.heartbeat_ms,
    electionTimeoutMinMs: read.timing.value?.election_timeout_min_ms,
    electionTimeoutMaxMs: read.timing.value?.election_timeout_max_ms,
    clockMarginMs: read.timing.value?.clock_margin_ms,
    peerTimeoutMs: read.timing.value?.peer_timeout_ms,
    proposalTimeoutMs: read.timing.value?.proposal_timeout_ms,
  });
  const faults = [
    ...ini.faults,
    ...findSectionFaults(ini.sections, REQUIRED_SECTIONS, OPTIONAL_SECTIONS),
    ...Object.values(read).flatMap((section) => section.faults),
    ...findDuplicateAddresses(members),
    ...(control && read.members.value
      ? findOwnMemberFaults(control.name, control.data_centre, members)
      : []),
    ...(control ? findListenFaults(control.listen, control.operator_listen) : []),
    ...findTimingFaults(timing),
  ];
  if (faults.length > 0 || !control || !read.operator.value) {
    return err(new SettingsError(SettingsErrorCode.Invalid, faults));
  }
  return ok({
    name: control.name,
    dataCentre: control.data_centre,
    region: control.region,
    dataFolder: resolve(baseFolder, control.data_folder),
    listen: control.listen,
    operatorListen: control.operator_listen,
    members,
    operator: { tokenFile: resolve(baseFolder, read.operator.value.token_file) },
    ...(read.tls.value ? { tls: resolveTlsPaths(read.tls.value, baseFolder) } : {}),
    log: resolveLogSettings(read.log.value, baseFolder),
    timing,
    ...(rollouts && {
      rollouts: {
        exposedShare: rollouts.exposed_permille / PERMILLE,
        exposedSlack: rollouts.exposed_slack,
        rollbackMs: rollouts.rollback_ms,
      },
    }),
    ...createQuotaBounds(read.quotas.value),
  });
};
