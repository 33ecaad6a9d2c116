import type { SettingsFault } from '../SettingsError.js';

/**
 * Formats a fault in a settings file as one line.
 *
 * @param fault - the fault
 *
 * @example
 * describeSettingsFault(fault); // '[control] listen "7400": expected IP:port'
 */
const describeSettingsFault = ({ section, key, value, expected }: SettingsFault): string => {
  const parts = [
    ...(section === '' ? [] : [`[${section}]`]),
    ...(key === '' ? [] : [key]),
    ...(value === '' ? [] : [JSON.stringify(value)]),
  ];
  return `${parts.join(' ')}: expected ${expected}`;
};

export default describeSettingsFault;
