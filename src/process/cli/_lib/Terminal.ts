/** Where commands print, so that tests can collect it. */
export default interface Terminal {
  /** Prints one line of output. */
  print: (line: string) => void;
  /** Prints one line of diagnostics. */
  printError: (line: string) => void;
}
