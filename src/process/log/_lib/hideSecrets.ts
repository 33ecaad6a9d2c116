/** Replaces the values of fields that are named like a secret. */

const SECRET_PATTERN = /token|authorization|secret|password|passphrase|cookie|private/i;
const HIDDEN = '[hidden]';

/** Field names come from the source, so they are few; the limit guards against one that is not. */
const MAX_KNOWN_NAMES = 1_000;

const knownNames = new Map<string, boolean>();

const isSecret = (name: string): boolean => {
  const known = knownNames.get(name);
  if (known !== undefined) return known;
  const secret = SECRET_PATTERN.test(name);
  if (knownNames.size < MAX_KNOWN_NAMES) knownNames.set(name, secret);
  return secret;
};

/**
 * Hides the values of fields whose name says that they are secret, as a second guard: no code should
 * pass one.
 *
 * @param context - fields of a log line
 * @returns the same object when there is nothing to hide
 */
const hideSecrets = <Context extends object>(context: Context): Context => {
  const names = Object.keys(context);
  if (!names.some(isSecret)) return context;
  const hidden = names.filter(isSecret).map((name) => [name, HIDDEN]);
  return { ...context, ...Object.fromEntries(hidden) };
};

export default hideSecrets;
