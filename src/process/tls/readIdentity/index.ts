/** Reads the identity of a process from its certificate. */

/** Kind of a process, from the organizational unit (OU) of its certificate. */
export enum ProcessRole {
  Control = 'control',
  Node = 'node',
}

export interface ProcessIdentity {
  /** Common name (CN): the name of the process in its settings. */
  name: string;
  /** Absent when no OU is a known role. */
  role: ProcessRole | undefined;
}

/** Subject of a certificate as node:tls presents it; a repeated attribute is an array. */
export interface CertificateSubject {
  CN?: string | string[];
  OU?: string | string[];
}

const ROLES = Object.values(ProcessRole);

const listValues = (value: string | string[] | undefined): string[] =>
  value === undefined ? [] : [value].flat();

/**
 * Reads name and role from the subject of a verified certificate.
 *
 * @param subject - subject attributes
 *
 * @example
 * readIdentity({ CN: 'node-1', OU: 'node' }).role; // ProcessRole.Node
 */
export const readIdentity = (subject: CertificateSubject): ProcessIdentity => {
  const units = listValues(subject.OU);
  return {
    name: listValues(subject.CN)[0] ?? '',
    role: ROLES.find((role) => units.includes(role)),
  };
};
