const URI_REFERENCE = /<[\w\-.~:/?#[\]@!$&'()*+,;=%]*>/.source;
const TOKEN = /[\w!#$%&'*+\-.^`|~]+/.source;
const QUOTED_STRING = /"(?:[\t !\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"/.source;
const SPACE = /[ \t]*/.source;
// Each space belongs to what precedes it, so that a long invalid field is refused in linear time.
const PARAMETER = `${TOKEN}${SPACE}(?:=${SPACE}(?:${TOKEN}|${QUOTED_STRING})${SPACE})?`;
const LINK = `${URI_REFERENCE}${SPACE}(?:;${SPACE}(?:${PARAMETER})?)*`;
const LINK_FIELD = new RegExp(`^${SPACE}(?:${LINK})?(?:,${SPACE}(?:${LINK})?)*$`);

/**
 * Returns whether the value of a `Link` field is valid (RFC 8288, section 3). A valid one has no
 * control characters but tabs.
 *
 * @param value - one or more links, as latin1
 *
 * @example
 * isLinkField('</a.css>; rel="preload prefetch", </b.js>; rel=preload');
 */
const isLinkField = (value: string): boolean => LINK_FIELD.test(value);

export default isLinkField;
