import tap from 'tap';

import { StartShare } from './index.js';

/** Creates a connection that asks for further turns until its requests are started. */
const createTaker = (turns: StartShare, name: string, count: number, started: string[]) => {
  let left = count;
  const taker = {
    runningTurns: 0,
    startNext: (): boolean => {
      if (left === 0) return false;
      left -= 1;
      taker.runningTurns += 1;
      started.push(name);
      if (left > 0) turns.ask(taker);
      return true;
    },
  };
  return taker;
};

// Guards against a connection with many requests that takes the turns of those with few.
tap.test('connections take turns, one request each', (t) => {
  const turns = new StartShare({ maxRunning: 12 });
  const started: string[] = [];
  turns.ask(createTaker(turns, 'many', 4, started));
  turns.ask(createTaker(turns, 'few', 2, started));
  turns.ask(createTaker(turns, 'one', 1, started));
  turns.grant();
  t.strictSame(started, ['many', 'few', 'one', 'many', 'few', 'many', 'many']);
  t.end();
});

// Guards against a connection whose slow requests leave nothing to those that come later.
tap.test('a connection leaves as much free as it uses', (t) => {
  const turns = new StartShare({ maxRunning: 8 });
  const started: string[] = [];
  const first = createTaker(turns, 'first', 100, started);
  turns.ask(first);
  turns.grant();
  t.equal(first.runningTurns, 4);
  const second = createTaker(turns, 'second', 100, started);
  turns.ask(second);
  turns.grant();
  t.equal(second.runningTurns, 2);
  Array.from({ length: 20 }, () => {
    const oldest = first.runningTurns >= second.runningTurns ? first : second;
    oldest.runningTurns -= 1;
    turns.end();
    turns.grant();
    return oldest;
  });
  t.equal(turns.running, 6);
  t.equal(first.runningTurns, 3);
  t.equal(second.runningTurns, 3);
  t.end();
});

// Guards against more running requests than the bound, and against turns that are lost with a request.
tap.test('a turn is given when a request has ended', (t) => {
  const turns = new StartShare({ maxRunning: 2 });
  const started: string[] = [];
  const takers = Array.from({ length: 5 }, (_, index) =>
    createTaker(turns, String(index), 1, started),
  );
  takers.forEach((taker) => turns.ask(taker));
  turns.grant();
  turns.grant();
  t.equal(started.length, 2);
  turns.end();
  turns.grant();
  t.strictSame(started, ['0', '1', '2']);
  t.equal(turns.running, 2);
  t.end();
});

// Guards against a departed connection that keeps its place, and against a turn that starts nothing.
tap.test('neither withdrawn nor empty connections use turns', (t) => {
  const turns = new StartShare({ maxRunning: 1 });
  const started: string[] = [];
  const withdrawn = createTaker(turns, 'withdrawn', 1, started);
  turns.ask(withdrawn);
  turns.ask(createTaker(turns, 'empty', 0, started));
  turns.ask(createTaker(turns, 'sound', 1, started));
  turns.withdraw(withdrawn);
  turns.grant();
  t.strictSame(started, ['sound']);
  t.end();
});

// Guards against a connection that gets several turns per round because it asked repeatedly.
tap.test('asking again does not count twice', (t) => {
  const turns = new StartShare({ maxRunning: 4 });
  const started: string[] = [];
  const first = createTaker(turns, 'first', 1, started);
  turns.ask(first);
  turns.ask(first);
  turns.ask(createTaker(turns, 'second', 1, started));
  turns.grant();
  t.strictSame(started, ['first', 'second']);
  t.end();
});
