const FRAMING_FIELDS = new Set([
  'connection',
  'content-length',
  'proxy-connection',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Returns whether trailers have a field that frames messages, which is forbidden (RFC 9110, section
 * 6.5.1). The parser of undici heeds it nevertheless, and then refuses the next response on the
 * connection.
 *
 * @param trailers - alternating names and values
 */
const hasFramingTrailer = (trailers: readonly Buffer[]): boolean =>
  trailers.some(
    (part, index) => index % 2 === 0 && FRAMING_FIELDS.has(part.toString('latin1').toLowerCase()),
  );

export default hasFramingTrailer;
