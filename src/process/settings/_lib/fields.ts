/** Valibot schemas of single settings values. Each message describes the expected value. */
import { BlockList, isIPv4, isIPv6 } from 'node:net';

import * as v from 'valibot';

import Placement from '../../../request/placement/index.js';
import { LogLevel } from '../../log/index.js';

const MAX_PORT = 65_535;
const MAX_DURATION_MS = 86_400_000;
const MAX_QUEUE_PER_SLOT = 100;
const MAX_REQUEST_COUNT = 1_000_000;

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const ADDRESS_PATTERN = /^(?:\[([^\]]+)\]|([^:]+)):([1-9][0-9]{0,4})$/;
const INTEGER_PATTERN = /^(0|[1-9][0-9]{0,8})$/;

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/** Host and port of an address. */
export interface AddressParts {
  host: string;
  port: number;
}

/**
 * Splits `IP:port`.
 *
 * @param address - for example `127.0.0.1:7400` or `[::1]:7400`
 * @returns the parts, or undefined when it is not an IP address with a port
 *
 * @example
 * parseAddress('[::1]:7400'); // { host: '::1', port: 7400 }
 */
export const parseAddress = (address: string): AddressParts | undefined => {
  const match = ADDRESS_PATTERN.exec(address);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? 0);
  const isIp = match?.[1] === undefined ? isIPv4(host) : isIPv6(host);
  return isIp && port >= 1 && port <= MAX_PORT ? { host, port } : undefined;
};

const isLoopback = (address: string): boolean => {
  const parts = parseAddress(address);
  return !!parts && loopback.check(parts.host, isIPv4(parts.host) ? 'ipv4' : 'ipv6');
};

/** Returns whether an address is the wildcard address, `0.0.0.0` or `::`. */
export const isWildcard = (address: string): boolean =>
  ['0.0.0.0', '::'].includes(parseAddress(address)?.host ?? '');

const NAME_EXPECTED =
  'a name of 1 to 64 letters, digits, ".", "_" or "-", starting with a letter or digit';
const ADDRESS_EXPECTED = 'IP:port, for example 10.0.0.5:7400 or [fd00::5]:7400';
const ADVERTISED_ADDRESS_EXPECTED = `${ADDRESS_EXPECTED}, and not a wildcard address, because other processes connect to it`;

/** Name of a VM, data centre or region. */
export const nameField = v.pipe(v.string(NAME_EXPECTED), v.regex(NAME_PATTERN, NAME_EXPECTED));

/** Address to listen on. */
export const listenField = v.pipe(
  v.string(ADDRESS_EXPECTED),
  v.check((value) => parseAddress(value) !== undefined, ADDRESS_EXPECTED),
);

/** Address that other processes connect to. */
export const advertisedAddressField = v.pipe(
  v.string(ADVERTISED_ADDRESS_EXPECTED),
  v.check(
    (value) => parseAddress(value) !== undefined && !isWildcard(value),
    ADVERTISED_ADDRESS_EXPECTED,
  ),
);

const LOOPBACK_EXPECTED = 'a loopback address and port, for example 127.0.0.1:7403';

/** Loopback address, which only processes of the same VM can connect to. */
export const loopbackField = v.pipe(
  v.string(LOOPBACK_EXPECTED),
  v.check(isLoopback, LOOPBACK_EXPECTED),
);

const PATH_EXPECTED = 'a path';

/** Path of a file or folder. */
export const pathField = v.pipe(v.string(PATH_EXPECTED), v.minLength(1, PATH_EXPECTED));

const createIntegerField = (lowest: number, highest: number, unit: string) => {
  const expected = `a whole number of ${unit} from ${lowest} to ${highest}`;
  return v.pipe(
    v.string(expected),
    v.check(
      (value) => INTEGER_PATTERN.test(value) && Number(value) >= lowest && Number(value) <= highest,
      expected,
    ),
    v.transform(Number),
  );
};

/** Duration in milliseconds. */
export const durationField = createIntegerField(1, MAX_DURATION_MS, 'milliseconds');

/** Part of the requests, in thousandths. */
export const permilleField = createIntegerField(1, 1_000, 'thousandths');

/** Number of requests. */
export const requestCountField = createIntegerField(0, MAX_REQUEST_COUNT, 'requests');

/** Maximum number of queued requests per slot. */
export const queuePerSlotField = createIntegerField(0, MAX_QUEUE_PER_SLOT, 'requests');

const SWITCH_STATES: Record<string, boolean> = { on: true, off: false };
const SWITCH_EXPECTED = `one of ${Object.keys(SWITCH_STATES).join(', ')}`;

/** Whether an optional part is used. */
export const switchField = v.pipe(
  v.string(SWITCH_EXPECTED),
  v.check((value) => Object.hasOwn(SWITCH_STATES, value), SWITCH_EXPECTED),
  v.transform((value) => SWITCH_STATES[value] === true),
);

const PLACEMENTS: string[] = Object.values(Placement);
const PLACEMENT_EXPECTED = PLACEMENTS.join(' or ');

/** How a node chooses servers. */
export const placementField = v.pipe(
  v.string(PLACEMENT_EXPECTED),
  v.check((value) => PLACEMENTS.includes(value), PLACEMENT_EXPECTED),
  v.transform((value) => value as Placement),
);

const LEVELS: Record<string, LogLevel> = {
  trace: LogLevel.Trace,
  debug: LogLevel.Debug,
  info: LogLevel.Info,
  warn: LogLevel.Warn,
  error: LogLevel.Error,
};
const LEVEL_EXPECTED = `one of ${Object.keys(LEVELS).join(', ')}`;

/** Log level by name. */
export const levelField = v.pipe(
  v.string(LEVEL_EXPECTED),
  v.check((value) => Object.hasOwn(LEVELS, value), LEVEL_EXPECTED),
  v.transform((value) => LEVELS[value] ?? LogLevel.Info),
);

const MEMBER_EXPECTED = `data centre and address, for example: dc-east, 10.0.0.5:7400`;

/** Data centre and address of a control VM. */
export const memberField = v.pipe(
  v.string(MEMBER_EXPECTED),
  v.transform((value) => value.split(',').map((part) => part.trim())),
  v.check(
    ([dataCentre = '', address = '', ...others]) =>
      others.length === 0 &&
      NAME_PATTERN.test(dataCentre) &&
      parseAddress(address) !== undefined &&
      !isWildcard(address),
    MEMBER_EXPECTED,
  ),
  v.transform(([dataCentre = '', address = '']) => ({ dataCentre, address })),
);

const ADDRESS_LIST_EXPECTED =
  'distinct addresses joined by ",", for example 10.0.0.5:7400, 10.0.0.6:7400';

/** Addresses of the control VMs of a data centre. */
export const addressListField = v.pipe(
  v.string(ADDRESS_LIST_EXPECTED),
  v.transform((value) => value.split(',').map((part) => part.trim())),
  v.check(
    (addresses) =>
      new Set(addresses).size === addresses.length &&
      addresses.every((address) => parseAddress(address) !== undefined && !isWildcard(address)),
    ADDRESS_LIST_EXPECTED,
  ),
);
