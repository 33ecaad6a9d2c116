import * as v from 'valibot';

import type { SettingsFault } from '../SettingsError.js';
import type { Sections } from './parseIni.js';

/** Schema of one section, with either fixed keys or keys chosen by the operator. */
export type SectionSchema = v.GenericSchema<Record<string, string>, unknown>;

/** The parsed section; the value is undefined when the section is missing or invalid. */
export interface ParsedSection<Output> {
  value: Output | undefined;
  faults: SettingsFault[];
}

const listKnownKeys = (schema: SectionSchema): string[] | undefined =>
  'entries' in schema ? Object.keys(schema.entries as object) : undefined;

const findUnknownKeys = (
  section: string,
  entries: Record<string, string>,
  schema: SectionSchema,
): SettingsFault[] => {
  const known = listKnownKeys(schema);
  if (!known) return [];
  return Object.keys(entries)
    .filter((key) => !known.includes(key))
    .map((key) => ({
      section,
      key,
      value: entries[key] ?? '',
      expected: `one of the keys ${known.join(', ')}`,
    }));
};

const createFault = (
  section: string,
  entries: Record<string, string>,
  issue: v.BaseIssue<unknown>,
): SettingsFault => {
  const key = String(issue.path?.[0]?.key ?? '');
  const isMissing = !Object.hasOwn(entries, key);
  return {
    section,
    key,
    value: entries[key] ?? '',
    expected: isMissing ? 'this key, which is required' : issue.message,
  };
};

/**
 * Validates one section. A missing section gives no fault; see `findSectionFaults`.
 *
 * @param sections - all sections of the file
 * @param section - name of the section
 * @param schema - schema of the section
 * @returns the value, and the faults including unknown keys
 */
export const parseSection = <Schema extends v.GenericSchema>(
  sections: Sections,
  section: string,
  schema: Schema,
): ParsedSection<v.InferOutput<Schema>> => {
  const entries = sections[section];
  if (!entries) return { value: undefined, faults: [] };
  const unknown = findUnknownKeys(section, entries, schema as unknown as SectionSchema);
  const parsed = v.safeParse(schema, entries);
  if (parsed.success) return { value: parsed.output, faults: unknown };
  const faults = parsed.issues.map((issue) => createFault(section, entries, issue));
  return { value: undefined, faults: [...unknown, ...faults] };
};

/**
 * Lists unknown sections and missing required sections.
 *
 * @param sections - all sections of the file
 * @param required - names of the required sections
 * @param optional - names of the optional sections
 */
export const findSectionFaults = (
  sections: Sections,
  required: string[],
  optional: string[],
): SettingsFault[] => {
  const known = [...required, ...optional];
  const unknown = Object.keys(sections).filter((section) => !known.includes(section));
  const missing = required.filter((section) => !Object.hasOwn(sections, section));
  return [
    ...unknown.map((section) => ({
      section,
      key: '',
      value: '',
      expected: `one of the sections ${known.join(', ')}`,
    })),
    ...missing.map((section) => ({
      section,
      key: '',
      value: '',
      expected: 'this section, which is required',
    })),
  ];
};
