/** Entry point of the command `foxtailvane`. */
import { runCommandLine } from './index.js';

process.exitCode = await runCommandLine(process.argv.slice(2), {
  print: (line) => process.stdout.write(`${line}\n`),
  printError: (line) => process.stderr.write(`${line}\n`),
});
