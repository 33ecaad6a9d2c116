/** Exit codes of every command. */
enum ExitCode {
  /** The command succeeded. */
  Done = 0,
  /** The request did not run. */
  Refused = 1,
  /** The sheet, the settings or the arguments are invalid. */
  BadInput = 2,
  /** It is unknown whether the request ran. */
  Unknown = 3,
}

export default ExitCode;
