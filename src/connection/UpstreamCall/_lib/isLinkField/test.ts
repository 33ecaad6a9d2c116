import tap from 'tap';

import isLinkField from './index.js';

/** A regular expression that backtracks takes minutes for a field of this length. */
const LONG = 30_000;
const MAX_CHECK_MS = 200;

// Guards against legal hints that are dropped: those that the pattern of Node.js does not match.
tap.test('fields of RFC 8288 are valid', async (t) => {
  [
    '</a.css>; rel=preload',
    '<>;rel=self',
    '</a.css>',
    '</a>; title="a; b, \\"c\\" <d>"; rel="next last"',
    '</a>; rel=preload, </b>; rel=preload,</c>',
    ' </a> ; rel = "x" ; crossorigin;; ,, </b>',
    "</a>; title*=UTF-8''a%20b",
    '<https://a.example/x?y=z,;#frag>; rel=preload',
    '</a>; title="\xe9"',
  ].forEach((value) => t.ok(isLinkField(value), value));
});

// Guards against fields that split a response, or that a caller can't read.
tap.test('other fields are invalid', async (t) => {
  [
    '/a.css; rel=preload',
    '</a.css; rel=preload',
    '</a b>; rel=preload',
    '</a> rel=preload',
    '</a></b>',
    '</a>; title="b',
    '</a>; title="b\\"',
    '</a>; =b',
    '</a>; b=',
    '</a>; b=c d',
    '</a>\r\nset-cookie: x',
    '</a>\n',
    '</a>; title="\r\n"',
    '</a>; title="\0"',
    '</a>; title="\x7f"',
    '</\xe9>',
    '</a>; title="\u0100"',
  ].forEach((value) => t.notOk(isLinkField(value), JSON.stringify(value)));
});

// Guards against a field that keeps the process busy.
tap.test('a long invalid field is refused at once', async (t) => {
  const parts = ['; ', ' ', ', ', '</a>', '</a>; ', '; a', '; a=b', '; a="b"', '\\"', 'a'];
  parts.forEach((part) => {
    const startedAtMs = performance.now();
    t.notOk(isLinkField(`</a>${part.repeat(LONG / part.length)}"`));
    const elapsedMs = performance.now() - startedAtMs;
    t.ok(elapsedMs < MAX_CHECK_MS, `${JSON.stringify(part)}: ${elapsedMs.toFixed(1)} ms`);
  });
});
