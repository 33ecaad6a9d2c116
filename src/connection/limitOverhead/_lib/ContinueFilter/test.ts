import fc from 'fast-check';
import tap from 'tap';

import ContinueFilter from './index.js';

const RUNS = 300;
const SEED = 50;

const FINAL = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const PROCESSING = 'HTTP/1.1 102 Processing\r\n\r\n';
const HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';

/** Returns what is left of bytes that arrive in these parts. */
const filterParts = (parts: string[], filter = new ContinueFilter()): string =>
  parts.map((part) => filter.filter(Buffer.from(part, 'latin1')).toString('latin1')).join('');

const cutAt = (text: string, positions: number[]): string[] => {
  const sorted = [0, ...positions, text.length].toSorted((left, right) => left - right);
  return sorted.slice(1).map((end, index) => text.slice(sorted[index], end));
};

const KEPT: Record<string, [received: string, kept: string]> = {
  'a final head': [FINAL, FINAL],
  'one before the final head': [CONTINUE + FINAL, FINAL],
  'several in a row': [CONTINUE + CONTINUE + CONTINUE + FINAL, FINAL],
  'between other informational heads': [
    PROCESSING + CONTINUE + HINTS + CONTINUE + FINAL,
    PROCESSING + HINTS + FINAL,
  ],
  'with fields': [
    `HTTP/1.1 100 Continue\r\nDate: now\r\nX: HTTP/1.1 200 OK\r\n\r\n${FINAL}`,
    FINAL,
  ],
  'without a reason': [`HTTP/1.1 100\r\n\r\n${FINAL}`, FINAL],
  'HTTP/1.0': [`HTTP/1.0 100 Continue\r\n\r\n${FINAL}`, FINAL],
  'line feeds alone': [`HTTP/1.1 100 Continue\nX: y\n\n${FINAL}`, FINAL],
  'line feeds alone, without a reason': [`HTTP/1.1 100\n\n${FINAL}`, FINAL],
  'mixed line ends': [`HTTP/1.1 100 Continue\nX: y\r\n\n${FINAL}`, FINAL],
  'after an empty line': [`\r\n${CONTINUE}\r\n${FINAL}`, `\r\n\r\n${FINAL}`],
  'one after the final head': [`${FINAL}${CONTINUE}`, `${FINAL}${CONTINUE}`],
  'a status of four digits': [`HTTP/1.1 1000 X\r\n\r\n${FINAL}`, `HTTP/1.1 1000 X\r\n\r\n${FINAL}`],
  'a status of two digits': [`HTTP/1.1 10 X\r\n\r\n${FINAL}`, `HTTP/1.1 10 X\r\n\r\n${FINAL}`],
  'another version': [`HTTP/2.0 100 X\r\n\r\n${FINAL}`, `HTTP/2.0 100 X\r\n\r\n${FINAL}`],
  'lower case': [`http/1.1 100 X\r\n\r\n${FINAL}`, `http/1.1 100 X\r\n\r\n${FINAL}`],
  'two spaces': [`HTTP/1.1  100 X\r\n\r\n${FINAL}`, `HTTP/1.1  100 X\r\n\r\n${FINAL}`],
  'in a field of another head': [
    `HTTP/1.1 102 X\r\nX: y\r\n${CONTINUE}${FINAL}`,
    `HTTP/1.1 102 X\r\nX: y\r\n${CONTINUE}${FINAL}`,
  ],
  'other bytes': [`\0${CONTINUE}${FINAL}`, `\0${CONTINUE}${FINAL}`],
  'an unfinished one': ['HTTP/1.1 100 Continue\r\nX: y', ''],
};

// Guards against a good answer that is lost because of a 100 response, and against other bytes that change.
Object.entries(KEPT).forEach(([name, [received, kept]]) =>
  tap.test(`100 responses: ${name}`, async (t) => {
    t.equal(filterParts([received]), kept, 'whole');
    t.equal(filterParts([...received]), kept, 'in bytes');
    const cuts = Array.from({ length: received.length }, (_, index) => index);
    t.ok(
      cuts.every((cut) => filterParts(cutAt(received, [cut])) === kept),
      'cut in two anywhere',
    );
  }),
);

// Guards against a cut at which the filter loses or keeps a byte.
tap.test('any heads cut anywhere leave all but the 100 responses', async () => {
  const head = fc.oneof(
    ...Object.values(KEPT)
      .filter(([, kept]) => kept.endsWith(FINAL))
      .map(([received, kept]) =>
        fc.constant([received.slice(0, -FINAL.length), kept.slice(0, -FINAL.length)] as const),
      ),
  );
  const isInterim = ([received]: readonly [string, string]): boolean =>
    /^(\r\n)?(HTTP\/1\.[01] 1\d\d[ \r\n]|$)/.test(received);
  const heads = fc.array(head.filter(isInterim), { maxLength: 8 });
  fc.assert(
    fc.property(heads, fc.array(fc.nat(600), { maxLength: 30 }), (chosen, positions) => {
      const received = chosen.map(([text]) => text).join('') + FINAL;
      const kept = chosen.map(([, text]) => text).join('') + FINAL;
      const cuts = positions.map((position) => Math.min(position, received.length));
      return filterParts(cutAt(received, cuts)) === kept;
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

// Guards against a start that is left over from the response before.
tap.test('each request starts anew', async (t) => {
  const filter = new ContinueFilter();
  t.equal(filterParts([FINAL], filter), FINAL);
  filter.reset();
  t.equal(filterParts(['HTTP/1.1 10'], filter), '');
  filter.reset();
  t.equal(filterParts([CONTINUE + FINAL], filter), FINAL);
});

// Guards against a copy of each part of an ordinary response.
tap.test('parts of a response without a 100 response are not copied', async (t) => {
  const filter = new ContinueFilter();
  const head = Buffer.from(FINAL);
  t.equal(filter.filter(head), head);
  t.equal(filter.filter(head), head);
});
