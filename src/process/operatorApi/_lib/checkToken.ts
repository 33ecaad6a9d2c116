import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME_PATTERN = /^Bearer (.+)$/i;

const hash = (text: string): Buffer => createHash('sha256').update(text).digest();

/**
 * Compares the bearer token of a request in constant time. Both sides are hashed first, so that they
 * have equal length and the comparison does not reveal the length of the token.
 *
 * @param header - value of the `Authorization` header
 * @param token - the expected token
 * @returns whether the tokens match; always false for an empty expected token
 */
const checkToken = (header: string | undefined, token: string): boolean => {
  const offered = SCHEME_PATTERN.exec(header ?? '')?.[1] ?? '';
  return timingSafeEqual(hash(offered), hash(token)) && token !== '';
};

export default checkToken;
