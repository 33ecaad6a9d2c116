/** Parses INI text into sections and reports the syntax faults that the ini package ignores. */
import { parse } from 'ini';

import type { SettingsFault } from '../SettingsError.js';

/** Values by section and key. */
export type Sections = Record<string, Record<string, string>>;

export interface ReadIni {
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

const isGroup = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

interface ReadValue {
  value: string;
  /** The values as written, joined if the key occurs more than once. */
  written: string;
  isRepeated: boolean;
}

/** Without `bracketedArray`, the package returns an array for a key that occurs more than once. */
const readValue = (raw: unknown): ReadValue => {
  const values: unknown[] = Array.isArray(raw) ? raw : [raw];
  const written = values.map(String).join(' and ');
  return { value: String(values[0]), written, isRepeated: values.length > 1 };
};

const readSection = (section: string, entries: Record<string, unknown>): ReadIni => {
  const values = Object.entries(entries)
    .filter(([, raw]) => !isGroup(raw))
    .map(([key, raw]) => ({ key, ...readValue(raw) }));
  const nested = Object.keys(entries).filter((key) => isGroup(entries[key]));
  // For a section "a.b" without a section "a", the package creates an empty section "a".
  const isOnlyNested = values.length === 0 && nested.length > 0;
  return {
    sections: isOnlyNested
      ? {}
      : { [section]: Object.fromEntries(values.map(({ key, value }) => [key, value])) },
    faults: [
      ...values
        .filter(({ isRepeated }) => isRepeated)
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
export const readIni = (text: string): ReadIni => {
  const lineFaults = findLineFaults(text);
  const parsed = parseText(text);
  if (!parsed) {
    const expected = 'every key inside a section, and no section named like a key';
    return { sections: {}, faults: [...lineFaults, { section: '', key: '', value: '', expected }] };
  }
  const looseFaults = Object.entries(parsed)
    .filter(([, value]) => !isGroup(value))
    .map(([key, value]) => ({
      section: '',
      key,
      value: readValue(value).written,
      expected: 'this key inside a section',
    }));
  const read = Object.entries(parsed).flatMap(([section, entries]) =>
    isGroup(entries) ? [readSection(section, entries)] : [],
  );
  return {
    sections: Object.assign({}, ...read.map(({ sections }) => sections)) as Sections,
    faults: [...lineFaults, ...looseFaults, ...read.flatMap(({ faults }) => faults)],
  };
};
