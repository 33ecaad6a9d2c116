import type { IncomingMessage } from 'node:http';
import listHeaderValues from '../../connection/listHeaderValues/index.js';

const AUTHORIZATION_HEADER = 'authorization';

/**
 * Reads the credential of an Authorization header with a given scheme.
 *
 * @param request - only its head is read
 * @param scheme - authentication scheme in lower case
 * @returns the credential; undefined if the header is absent, repeated or of another form
 */
const readCredential = (
  { rawHeaders }: Pick<IncomingMessage, 'rawHeaders'>,
  scheme: string,
): string | undefined => {
  // `request.headers` hides a repeated header, of which a server behind could read the other one.
  const values = listHeaderValues(rawHeaders, AUTHORIZATION_HEADER);
  const [name, credential, ...rest] = values[0]?.split(' ') ?? [];
  const isWellFormed = values.length === 1 && rest.length === 0 && credential !== '';
  return isWellFormed && name?.toLowerCase() === scheme ? credential : undefined;
};

export default readCredential;
