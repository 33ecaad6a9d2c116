import fc from 'fast-check';

import { chooseSeed } from '../../stand-ins/createSeededRandom/index.js';

const DEFAULT_RUNS = 200;

/** Number of generated inputs per fuzz test; can be set with `FUZZ_RUNS`. */
export const FUZZ_RUNS = Number(process.env.FUZZ_RUNS ?? DEFAULT_RUNS);

/**
 * Checks a property for many generated inputs and prints the seed.
 *
 * @param name - printed with the seed
 * @param property - returns false, rejects or throws for an input that violates it
 * @param options - number of generated inputs
 * @throws Error with the failing input if the property does not hold
 */
export const runFuzz = async <Input>(
  name: string,
  property: fc.IAsyncProperty<Input> | fc.IProperty<Input>,
  options: { runs?: number } = {},
): Promise<void> => {
  const seed = chooseSeed();
  const numRuns = options.runs ?? FUZZ_RUNS;
  process.stderr.write(`fuzz ${name} seed=${seed} runs=${numRuns}\n`);
  await fc.assert(property, { seed, numRuns, endOnFailure: true });
};

interface Edit {
  position: number;
  removed: number;
  inserted: string;
}

const applyEdit = (text: string, edit: Edit): string => {
  const offset = Math.floor(edit.position * text.length);
  return text.slice(0, offset) + edit.inserted + text.slice(offset + edit.removed);
};

const MAX_REMOVED = 20;

/**
 * Generates valid texts with a few random edits, which get further into a parser than random texts.
 *
 * @param valid - valid texts
 * @param tokens - tokens of the format, preferred for insertions
 */
export const createEditedText = (valid: string[], tokens: string[]): fc.Arbitrary<string> => {
  const edit = fc.record({
    position: fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true }),
    removed: fc.nat(MAX_REMOVED),
    inserted: fc.oneof(fc.constantFrom(...tokens), fc.string({ unit: 'binary', maxLength: 20 })),
  });
  return fc
    .tuple(fc.constantFrom(...valid), fc.array(edit, { maxLength: 6 }))
    .map(([text, edits]) => edits.reduce(applyEdit, text));
};
