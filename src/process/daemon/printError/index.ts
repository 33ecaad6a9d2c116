/** Writes one line about the program itself to standard error. */
const printError = (line: string): void => {
  process.stderr.write(`foxtailvane: ${line}\n`);
};

export default printError;
