/** Parses INI text into sections and reports the syntax faults that the ini package ignores. */
import { parse } from 'ini';

import type { SettingsFault } from '../SettingsError.js';

/** Values by section and key. */
export type Sections = Record<string, Record<string, string>>;

export interface ParsedIni {
  sections: Sections;
  faults: SettingsFault[];
}

const LINE_PATTERN = /^\s*(?:[;#].*|\[[^\]]+\]\s*|[^=\s[][^=]*=.*)?$/;
const RESERVED_PATTERN = /__proto__/;

const findLineFaults = (text: string): SettingsFault[] =>
  text
    .split(/[\r\n]+/)
    .filter((line) => !LINE_PATTERN.test(line) || RESERVED_PATTERN.test(line))
    .map((line) => ({
      section: '',
      key: '',
      value: line.trim(),
      expected: 'a line "[section]", "key = value" or "; comment"',
    }));

const isSection = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

interface ParsedValue {
  value: string;
  /** The values as written, joined if the key occurs more than once. */
  written: string;
  isDuplicate: boolean;
}

/** Without `bracketedArray`, the package returns an array for a key that occurs more than once. */
const parseValue = (raw: unknown): ParsedValue => {
  const values: unknown[] = Array.isArray(raw) ? raw : [raw];
  const written = values.map(String).join(' and ');
  return { value: String(values[0]), written, isDuplicate: values.length > 1 };
};

const createSection = (section: string, entries: Record<string, unknown>): ParsedIni => {
  const values = Object.entries(entries)
    .filter(([, raw]) => !isSection(raw))
    .map(([key, raw]) => ({ key, ...parseValue(raw) }));
  const nested = Object.keys(entries).filter((key) => isSection(entries[key]));
  // For a section "a.b" without a section "a", the package creates an empty section "a".
  const isOnlyNested = values.length === 0 && nested.length > 0;
  return {
    sections: isOnlyNested
      ? {}
      : { [section]: Object.fromEntries(values.map(({ key, value }) => [key, value])) },
    faults: [
      ...values
        .filter(({ isDuplicate: isRepeated }) => isRepeated)
        .map(({ key, written }) => ({
          section,
          key,
          value: written,
          expected: 'this key only once',
        })),
      ...nested.map((key) => ({
        section: `${section}.${key}`,
        key: '',
        value: '',
        expected: 'a section name without "."',
      })),
    ],
  };
};

const parseText = (text: string): Record<string, unknown> | undefined => {
  try {
    return parse(text, { bracketedArray: false });
  } catch {
    // The package throws if a section has the same name as an earlier key.
    return undefined;
  }
};

/**
 * Parses INI text.
 *
 * @param text - content of the settings file
 * @returns the sections and the syntax faults
 */
export const parseIni = (text: string): ParsedIni => {
  const lineFaults = findLineFaults(text);
  const parsed = parseText(text);
  if (!parsed) {
    const expected = 'every key inside a section, and no section named like a key';
    return { sections: {}, faults: [...lineFaults, { section: '', key: '', value: '', expected }] };
  }
  const rootKeyFaults = Object.entries(parsed)
    .filter(([, value]) => !isSection(value))
    .map(([key, value]) => ({
      section: '',
      key,
      value: parseValue(value).written,
      expected: 'this key inside a section',
    }));
  const read = Object.entries(parsed).flatMap(([section, entries]) =>
    isSection(entries) ? [createSection(section, entries)] : [],
  );
  return {
    sections: Object.assign({}, ...read.map(({ sections }) => sections)) as Sections,
    faults: [...lineFaults, ...rootKeyFaults, ...read.flatMap(({ faults }) => faults)],
  };
};
