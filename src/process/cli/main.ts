#!/usr/bin/env node
/** Entry point of the command `foxtailvane`. */
import { access } from 'node:fs/promises';

const BUNDLE_URL = new URL('../../../bundle/node.mjs', import.meta.url);

const args = process.argv.slice(2);

// A reader that closes the pipe early, such as `head`, does not fail the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

const runBundledNode = async (settingsPath: string): Promise<number> => {
  const { default: runNode } = (await import(BUNDLE_URL.href)) as {
    default: (path: string) => Promise<number>;
  };
  return runNode(settingsPath);
};

const runCommandLineModules = async (): Promise<number> => {
  const { runCommandLine } = await import('./index.js');
  return runCommandLine(args, {
    print: (line) => process.stdout.write(`${line}\n`),
    printError: (line) => process.stderr.write(`${line}\n`),
  });
};

const hasBundle = async (): Promise<boolean> => {
  try {
    await access(BUNDLE_URL);
    return true;
  } catch {
    return false;
  }
};

// The node daemon has a memory budget of 64 MB, so `node --settings FILE` runs from the bundle without
// loading the modules of the command line.
const [command, flag, settingsPath] = args;
const isBundledCommand = command === 'node' && flag === '--settings' && args.length === 3;
process.exitCode =
  isBundledCommand && settingsPath !== undefined && (await hasBundle())
    ? await runBundledNode(settingsPath)
    : await runCommandLineModules();
