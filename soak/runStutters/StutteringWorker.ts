/** Writes the answers of a worker, and sometimes parts of them again. */
import type { Socket } from 'node:net';
import { drawInteger, drawOne } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import type { WorkerRun } from '../../stand-ins/platform/index.js';
import {
  Framing,
  Moment,
  SecondAnswer,
  drawAnswer,
  formatAnswer,
  formatHints,
  formatSecondAnswer,
  isTraceable,
} from './drawAnswer.js';
import type { WorkerAnswer } from './drawAnswer.js';

const STUTTER_SHARE = 0.25;
const HINTS_SHARE = 0.1;
/** Share of the answers after which the connection breaks within the body. */
const BREAK_SHARE = 0.02;
const MAX_LATER_MS = 50;
const MAX_WORK_MS = 30;
const MOMENTS = Object.values(Moment);
const SECOND_ANSWERS = Object.values(SecondAnswer);
const BODY_START = '\r\n\r\n';

/** A second answer that is written with the next answer on its connection. */
interface Waiting {
  moment: Moment;
  form: SecondAnswer;
  bytes: string;
}

const write = (socket: Socket, bytes: string): void => {
  if (!socket.destroyed && socket.writable) socket.write(bytes, 'latin1');
};

const insert = (bytes: string, index: number, inserted: string): string =>
  bytes.slice(0, index) + inserted + bytes.slice(index);

export default class StutteringWorker {
  /** All answers, in the order of their runs. */
  readonly answers: WorkerAnswer[] = [];

  /** Number of second answers by moment and form. */
  readonly stutters: Partial<Record<string, number>> = {};

  /** Regular answers are written while it is off. */
  isOn = false;

  readonly #name: string;

  readonly #random: Random;

  readonly #waiting = new WeakMap<Socket, Waiting>();

  constructor(name: string, random: Random) {
    this.#name = name;
    this.#random = random;
  }

  /**
   * Answers a request after some time.
   *
   * @param run - request that the worker runs
   * @param socket - its connection
   * @returns whether it writes the answer
   */
  answer({ attemptId }: WorkerRun, socket: Socket): boolean {
    if (!this.isOn) return false;
    const answer = drawAnswer(this.#random, attemptId, `${this.#name}.${this.answers.length}`);
    this.answers.push(answer);
    if (this.#waiting.get(socket)?.moment === Moment.NextRequest) this.#writeWaiting(socket);
    setTimeout(() => this.#write(answer, socket), drawInteger(this.#random, 0, MAX_WORK_MS));
    return true;
  }

  #write(answer: WorkerAnswer, socket: Socket): void {
    const random = this.#random;
    if (random() < HINTS_SHARE) write(socket, formatHints(answer.attemptId));
    const waiting = this.#waiting.get(socket);
    const isWithin =
      waiting?.moment === Moment.WithinNextHead ||
      // Bytes within a body of a stated length, or without any, can't be told from the body.
      (waiting?.moment === Moment.WithinNextBody && answer.framing === Framing.Chunks);
    if (waiting && !isWithin) this.#writeWaiting(socket);
    const whole = formatAnswer(answer);
    const bodyStart = whole.indexOf(BODY_START) + BODY_START.length;
    if (waiting && isWithin) {
      const start = waiting.moment === Moment.WithinNextHead ? 0 : bodyStart;
      const end = waiting.moment === Moment.WithinNextHead ? bodyStart : whole.length;
      this.#waiting.delete(socket);
      write(socket, insert(whole, Math.floor((start + end) / 2), waiting.bytes));
      return;
    }
    // An answer without a length that breaks off can't be told from its end at each hop.
    if (answer.framing !== Framing.None && random() < BREAK_SHARE) {
      write(socket, whole.slice(0, Math.floor((bodyStart + whole.length) / 2)));
      socket.end();
      return;
    }
    if (answer.framing === Framing.None) {
      write(socket, whole);
      socket.end();
      return;
    }
    this.#writeAndStutter(answer, whole, socket);
  }

  #writeAndStutter(answer: WorkerAnswer, whole: string, socket: Socket): void {
    const random = this.#random;
    if (random() >= STUTTER_SHARE) {
      write(socket, whole);
      return;
    }
    const form = drawOne(random, SECOND_ANSWERS);
    const drawn = drawOne(random, MOMENTS);
    // A head with an untraceable answer within it can't be told from a regular one.
    const isHidden = drawn === Moment.WithinNextHead && !isTraceable(form);
    const moment = isHidden ? Moment.NextAnswer : drawn;
    const label = `${moment} ${form}`;
    this.stutters[label] = (this.stutters[label] ?? 0) + 1;
    const bytes = formatSecondAnswer(answer, form);
    write(socket, moment === Moment.SameSegment ? whole + bytes : whole);
    if (moment === Moment.RightAfter) setImmediate(write, socket, bytes);
    else if (moment === Moment.Later) {
      setTimeout(write, drawInteger(random, 1, MAX_LATER_MS), socket, bytes);
    } else if (moment !== Moment.SameSegment) this.#waiting.set(socket, { moment, form, bytes });
  }

  #writeWaiting(socket: Socket): void {
    write(socket, this.#waiting.get(socket)?.bytes ?? '');
    this.#waiting.delete(socket);
  }
}
