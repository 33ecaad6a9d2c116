/** Why a settings file is rejected. */
export enum SettingsErrorCode {
  Unreadable = 'SETTINGS_UNREADABLE',
  Invalid = 'SETTINGS_INVALID',
}

/** One fault in a settings file. */
export interface SettingsFault {
  /** Section name; empty for a fault outside of any section or of the whole file. */
  section: string;
  /** Key; empty when the fault concerns the whole section. */
  key: string;
  /** The value as written; empty when it is missing. */
  value: string;
  /** What is expected instead. */
  expected: string;
}

/** Reports every fault of a settings file that can't be used. */
export class SettingsError extends Error {
  readonly code: SettingsErrorCode;

  readonly faults: SettingsFault[];

  constructor(code: SettingsErrorCode, faults: SettingsFault[]) {
    super(`the settings have ${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}`);
    this.name = 'SettingsError';
    this.code = code;
    this.faults = faults;
  }
}
