import { writeFileSync } from 'node:fs';

import { stringify } from 'ini';

export type IniSections = Record<string, Record<string, string | number>>;

/** Writes a settings file in INI format. */
export const writeIni = (file: string, sections: IniSections): void =>
  writeFileSync(file, stringify(sections, { whitespace: true }));
