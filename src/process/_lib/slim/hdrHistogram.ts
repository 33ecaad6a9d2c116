/**
 * The histogram of hdr-histogram-js without its WebAssembly build.
 *
 * The bundle replaces `hdr-histogram-js` with this module: the package takes about 9 MB of resident
 * memory, most of it for the WebAssembly variant, which is not used here.
 */
import int32Module from 'hdr-histogram-js/dist/Int32Histogram.js';

import type { BuildRequest, Histogram } from 'hdr-histogram-js';

export type { Histogram };

// For this CommonJS module, Node.js imports the module object, but esbuild imports its default export
// if a plugin resolved the importer. Handling only one of them made the bundled node fail at its first
// histogram.
const Int32Histogram = (int32Module.default as typeof int32Module.default | undefined)
  ? int32Module.default
  : (int32Module as unknown as typeof int32Module.default);

const DEFAULT_LOWEST_VALUE = 1;
const DEFAULT_HIGHEST_VALUE = 2;
const DEFAULT_SIGNIFICANT_DIGITS = 3;

/** Builds a 32-bit histogram, as `build` of hdr-histogram-js does by default. */
export const build = (request: BuildRequest): Histogram => {
  const histogram = new Int32Histogram(
    request.lowestDiscernibleValue ?? DEFAULT_LOWEST_VALUE,
    request.highestTrackableValue ?? DEFAULT_HIGHEST_VALUE,
    request.numberOfSignificantValueDigits ?? DEFAULT_SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = request.autoResize ?? true;
  return histogram;
};
