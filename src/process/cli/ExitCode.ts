/** Exit codes of every command. */
enum ExitCode {
  Done = 0,
  /** The request did not run. */
  Refused = 1,
  /** The sheet, the settings or the arguments are wrong. */
  BadInput = 2,
  /** The request may have run. */
  Unknown = 3,
}

export default ExitCode;
