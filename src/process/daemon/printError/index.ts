/** Writes one line to standard error, prefixed with the name of the program. */
const printError = (line: string): void => {
  process.stderr.write(`foxtailvane: ${line}\n`);
};

export default printError;
