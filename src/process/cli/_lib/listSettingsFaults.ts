import type { SettingsError } from '../../settings/index.js';

/** One line for each fault of a settings file. */
const listSettingsFaults = (path: string, error: SettingsError): string[] =>
  error.faults.map(({ section, key, value, expected }) => {
    const parts = [
      ...(section === '' ? [] : [`[${section}]`]),
      ...(key === '' ? [] : [key]),
      ...(value === '' ? [] : [JSON.stringify(value)]),
    ];
    return `${path}: ${parts.join(' ')}: expected ${expected}`;
  });

export default listSettingsFaults;
