/** Why a settings file is refused. */
export enum SettingsErrorCode {
  Unreadable = 'SETTINGS_UNREADABLE',
  Invalid = 'SETTINGS_INVALID',
}

/** One reason why a settings file is refused. */
export interface SettingsFault {
  /** Section name; empty for the part before the first section or for the whole file. */
  section: string;
  /** Key; empty when the fault concerns the whole section. */
  key: string;
  /** The value as written; empty when it is missing. */
  value: string;
  /** What is expected instead. */
  expected: string;
}

/** A settings file that can't be used, with all of its faults. */
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
