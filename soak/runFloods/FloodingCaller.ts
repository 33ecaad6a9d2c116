/** Calls a service with faulty workers again and again, and handles the answers in various ways. */
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import type { Socket } from 'node:net';
import { drawInteger, drawOne } from '../../stand-ins/createSeededRandom/index.js';
import type { Random } from '../../stand-ins/createSeededRandom/index.js';
import { drawRequestFlood } from './drawFlood.js';
import writeFlood from './writeFlood.js';

/** How a caller takes what it is sent. */
export enum Reading {
  All = 'ALL',
  Nothing = 'NOTHING',
  Slowly = 'SLOWLY',
  /** Closes the connection soon. */
  Leaves = 'LEAVES',
}

const READINGS = [Reading.All, Reading.All, Reading.Nothing, Reading.Slowly, Reading.Leaves];
const DEADLINES_MS = [500, 1_500, 4_000, 9_000];
const MAX_REQUESTS = 3;
const FLOOD_SHARE = 0.25;
const ORDER_SHARE = 0.3;
const READ_PAUSE_MS = 30;
const MAX_LEAVE_MS = 800;
const MAX_UNREAD_MS = 9_000;
const MAX_PAUSE_MS = 50;
/** After its deadline each request has its answer. */
const LATE_MS = 500;

export interface FloodingCallerOptions {
  /** `IP:port` of the node. */
  address: string;
  services: string[];
  /** Prefix of the ids of its requests. */
  name: string;
  random: Random;
}

const read = (socket: Socket, reading: Reading): void => {
  if (reading === Reading.Nothing) socket.pause();
  else if (reading === Reading.Slowly) {
    socket.on('data', () => {
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
    });
  } else socket.resume();
};

export default class FloodingCaller {
  /** Number of connections used so far. */
  connections = 0;

  #requests = 0;

  readonly #options: FloodingCallerOptions;

  constructor(options: FloodingCallerOptions) {
    this.#options = options;
  }

  /** Opens one connection after the other until the end. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.#useConnection(isOver);
      await sleep(drawInteger(this.#options.random, 0, MAX_PAUSE_MS));
    }
  }

  async #useConnection(isOver: () => boolean): Promise<void> {
    const { address, random } = this.#options;
    const [host, port] = address.split(':');
    const reading = drawOne(random, READINGS);
    const deadlineMs = drawOne(random, DEADLINES_MS);
    const socket = connect(Number(port), host);
    this.connections += 1;
    socket.on('error', () => undefined);
    read(socket, reading);
    const flooding = this.#write(socket, deadlineMs);
    const stayMs: Record<Reading, number> = {
      [Reading.All]: deadlineMs + LATE_MS,
      [Reading.Slowly]: deadlineMs + LATE_MS,
      [Reading.Nothing]: drawInteger(random, LATE_MS, MAX_UNREAD_MS),
      [Reading.Leaves]: drawInteger(random, 0, MAX_LEAVE_MS),
    };
    const endAtMs = performance.now() + stayMs[reading];
    while (!socket.destroyed && performance.now() < endAtMs && !isOver()) await sleep(MAX_PAUSE_MS);
    if (random() < 1 / 2) socket.destroy();
    else socket.resetAndDestroy();
    await flooding;
  }

  async #write(socket: Socket, deadlineMs: number): Promise<void> {
    const { random, services } = this.#options;
    const isFlood = random() < FLOOD_SHARE;
    const isOrder = isFlood || random() < ORDER_SHARE;
    const service = drawOne(random, services);
    const line = isOrder ? `POST /${service}/orders/flood` : `GET /${service}/flood`;
    const fields = ['Host: shop.example', `Deadline-Remaining: ${deadlineMs}`];
    const count = isFlood ? 1 : drawInteger(random, 1, MAX_REQUESTS);
    Array.from({ length: count }).forEach(() => {
      this.#requests += 1;
      const id = `Attempt-Id: ${this.#options.name}-${this.#requests}`;
      const rest = isOrder ? ['Content-Length: 0', '\r\n'] : ['\r\n'];
      socket.write([`${line} HTTP/1.1`, ...fields, id, ...(isFlood ? [''] : rest)].join('\r\n'));
    });
    if (isFlood) await writeFlood(socket, drawRequestFlood(random));
  }
}
