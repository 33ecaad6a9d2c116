/** Host and port of an address. */
export interface HostAndPort {
  host: string;
  port: number;
}

/**
 * Splits a validated address into host and port.
 *
 * @param address - `IP:port`, with IPv6 as `[IP]:port`; port 0 lets the system choose when listening
 * @returns host without brackets, and port
 *
 * @example
 * splitAddress('[::1]:7400'); // { host: '::1', port: 7400 }
 */
export const splitAddress = (address: string): HostAndPort => {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
};

/**
 * Joins host and port, the reverse of `splitAddress`.
 *
 * @param address - host without brackets, and port
 * @returns `IP:port`, with IPv6 as `[IP]:port`
 *
 * @example
 * formatAddress({ host: '::1', port: 7400 }); // '[::1]:7400'
 */
export const formatAddress = ({ host, port }: HostAndPort): string =>
  `${host.includes(':') ? `[${host}]` : host}:${port}`;
