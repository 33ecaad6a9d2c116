/** Redacts fields whose name indicates a secret. */

const SECRET_PATTERN = /token|authorization|secret|password|passphrase|cookie|private|api_?key/i;
const REDACTED = '[hidden]';

/** Limits the cache in case field names come from input; those from the source code are few. */
const MAX_CACHED_NAMES = 1_000;

const secretByName = new Map<string, boolean>();

const isSecret = (name: string): boolean => {
  const known = secretByName.get(name);
  if (known !== undefined) return known;
  const secret = SECRET_PATTERN.test(name);
  if (secretByName.size < MAX_CACHED_NAMES) secretByName.set(name, secret);
  return secret;
};

/**
 * Redacts the values of fields whose name indicates a secret. This is a second line of defence:
 * callers must not log secrets.
 *
 * @param context - fields of a log line
 * @returns a redacted copy, or the same object if there is nothing to redact
 */
const redactSecrets = <Context extends object>(context: Context): Context => {
  const names = Object.keys(context);
  if (!names.some(isSecret)) return context;
  const hidden = names.filter(isSecret).map((name) => [name, REDACTED]);
  return { ...context, ...Object.fromEntries(hidden) };
};

export default redactSecrets;
