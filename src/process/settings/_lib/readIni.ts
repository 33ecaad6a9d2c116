/** Reading of INI text into sections, with the faults that the ini package passes over. */
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
  /** All values of a key that occurs more than once, for the fault. */
  written: string;
  isRepeated: boolean;
}

/** With plain arrays, a key that occurs twice in a section is an array of its values. */
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
  // The package makes an empty section "a" out of a section "a.b" alone.
  const isOnlyNested = values.length === 0 && nested.length > 0;
  return {
    sections: isOnlyNested
      ? {}
      : { [section]: Object.fromEntries(values.map(({ key, value }) => [key, value])) },
    faults: [
      ...values
        .filter(({ isRepeated }) => isRepeated)
        .map(({ key, written }) => ({ section, key, value: written, expected: 'the key once' })),
      ...nested.map((key) => ({
        section: `${section}.${key}`,
        key: '',
        value: '',
        expected: 'no such section; section names have no "."',
      })),
    ],
  };
};

const parseText = (text: string): Record<string, unknown> | undefined => {
  try {
    return parse(text, { bracketedArray: false });
  } catch {
    // The package throws for a section that has the name of an earlier key.
    return undefined;
  }
};

/**
 * Reads INI text.
 *
 * @param text - the settings file
 * @returns the sections, and the faults of form
 */
export const readIni = (text: string): ReadIni => {
  const lineFaults = findLineFaults(text);
  const parsed = parseText(text);
  if (!parsed) {
    const expected = 'keys inside of sections, and each section once';
    return { sections: {}, faults: [...lineFaults, { section: '', key: '', value: '', expected }] };
  }
  const looseFaults = Object.entries(parsed)
    .filter(([, value]) => !isGroup(value))
    .map(([key, value]) => ({
      section: '',
      key,
      value: readValue(value).written,
      expected: 'the key inside of a section',
    }));
  const read = Object.entries(parsed).flatMap(([section, entries]) =>
    isGroup(entries) ? [readSection(section, entries)] : [],
  );
  return {
    sections: Object.assign({}, ...read.map(({ sections }) => sections)) as Sections,
    faults: [...lineFaults, ...looseFaults, ...read.flatMap(({ faults }) => faults)],
  };
};
