/**
 * Bundles each daemon that has a memory budget into one minified file under `bundle` beside the
 * compiled sources: the node and the two platform programs.
 *
 * Bundling reduces resident memory (budget 64 MB): one file with only the used parts of each
 * package needs less memory than separately loaded modules.
 */
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

import type { Plugin } from 'esbuild';

const resolvePath = (path: string): string => fileURLToPath(new URL(path, import.meta.url));

const SLIM_ASSERT = resolvePath('../src/process/_lib/slim/assert.cjs');

/** Replaces imports of whole packages with slim entry points; deep imports are unchanged. */
const useSlimPackages: Plugin = {
  name: 'use-slim-packages',
  setup: (pluginBuild) => {
    pluginBuild.onResolve({ filter: /^undici$/ }, () => ({
      path: resolvePath('../src/process/_lib/slim/undici.js'),
    }));
    pluginBuild.onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) =>
      importer === SLIM_ASSERT ? undefined : { path: SLIM_ASSERT },
    );
    pluginBuild.onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
      path: resolvePath('../src/process/_lib/slim/hdrHistogram.js'),
    }));
  },
};

const ENTRY_POINTS: Record<string, string> = {
  node: '../src/process/node/main.js',
  'platform-node': '../platform/node.js',
  'platform-control': '../platform/control.js',
};

await build({
  entryPoints: Object.entries(ENTRY_POINTS).map(([out, path]) => ({ out, in: resolvePath(path) })),
  outdir: resolvePath('../bundle'),
  outExtension: { '.js': '.mjs' },
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
