/** Output of the commands; tests replace it to capture what is printed. */
export default interface Terminal {
  /** Prints one line of output. */
  print: (line: string) => void;
  /** Prints one line of diagnostics. */
  printError: (line: string) => void;
}
