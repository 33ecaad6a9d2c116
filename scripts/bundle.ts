/**
 * Bundles the node daemon into one minified file, dist/bundle/node.mjs.
 *
 * The bundle exists for its resident memory (budget 64 MB): one file with only the used parts of
 * each package loads with less memory than the modules one by one.
 */
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

import type { Plugin } from 'esbuild';

const resolvePath = (path: string): string => fileURLToPath(new URL(path, import.meta.url));

/** Replaces whole packages by their slim entry points; deep imports stay as they are. */
const useSlimPackages: Plugin = {
  name: 'use-slim-packages',
  setup: (pluginBuild) => {
    pluginBuild.onResolve({ filter: /^undici$/ }, () => ({
      path: resolvePath('../src/process/_lib/slim/undici.js'),
    }));
    pluginBuild.onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
      path: resolvePath('../src/process/_lib/slim/hdrHistogram.js'),
    }));
  },
};

await build({
  entryPoints: [resolvePath('../src/process/node/main.js')],
  outfile: resolvePath('../bundle/node.mjs'),
  bundle: true,
  minify: true,
  sourcemap: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  plugins: [useSlimPackages],
  inject: [resolvePath('../src/process/_lib/installFetchClasses/index.js')],
  banner: {
    js: "import{createRequire as createRequireForBundle}from'node:module';const require=createRequireForBundle(import.meta.url);",
  },
  logLevel: 'warning',
});
