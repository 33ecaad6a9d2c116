import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';

const DEPLOYMENT = fileURLToPath(new URL('../../../deploy/system.toml', import.meta.url));

/**
 * Reads the options with which the deployment starts the runtime of a node.
 *
 * @returns the options, each as an argument of the runtime; rejects if there is no deploy file
 */
const readRuntimeOptions = async (): Promise<string[]> => {
  const [, options = ''] =
    /run = "node (.+) \S+platform-node\.mjs"/.exec(await readFile(DEPLOYMENT, 'utf8')) ?? [];
  return options.split(' ');
};

export default readRuntimeOptions;
