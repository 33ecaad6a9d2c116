/** Limits on the request bodies that an API keeps in memory. */
import type { Context, MiddlewareHandler } from 'hono';
import GrowingBuffer from '../GrowingBuffer/index.js';
import { createRateLimitedLogger } from '../log/createRateLimitedLogger/index.js';

/** Why a body was not received. */
export enum BodyRefusal {
  /** The body is larger than the limit of its request. */
  TooLarge = 'TOO_LARGE',
  /** The bodies in memory are larger than the limit of the API. */
  TooManyBytes = 'TOO_MANY_BYTES',
}

export interface BodyLimits {
  /** Returns the size up to which the body of a request is kept. */
  findMaxBytes: (context: Context) => number;
  /** Limit on the sum of the bodies that are received or handled at the same time. */
  maxHeldBytes: number;
  /** Creates the response to a request whose body was not received; the request was not handled. */
  refuse: (context: Context, refusal: BodyRefusal) => Context['res'];
}

/** Reader of a web stream of bytes. */
interface BodyReader {
  read: () => Promise<{ done: boolean; value?: Uint8Array | undefined }>;
}

/** A body in memory. */
interface HeldBody {
  bytes: GrowingBuffer;
  /** What the body takes of the limit of the API. */
  sizeBytes: number;
  refusal: BodyRefusal | undefined;
  /** Called when the body is complete or refused. */
  settle: () => void;
}

/** Limit on lines about refused bodies, of which a caller can cause one with each request. */
const LINES_PER_SECOND = 5;

const logger = createRateLimitedLogger('request-bodies', LINES_PER_SECOND);

/** The bodies that one API receives or handles. */
class HeldBodies {
  readonly #maxBytes: number;

  /** Bodies that are not complete. */
  readonly #received = new Set<HeldBody>();

  #sizeBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /**
   * Receives a body. The rest of a refused one is read and dropped, so that its sender can finish and
   * then read the response.
   *
   * @param reader - reader of the body
   * @param maxBytes - size up to which the body is kept
   * @returns the body, to be released after its use; rejects if it breaks off
   */
  receive(reader: BodyReader, maxBytes: number): Promise<HeldBody> {
    return new Promise((resolve, reject) => {
      const body: HeldBody = {
        bytes: new GrowingBuffer(),
        sizeBytes: 0,
        refusal: undefined,
        settle: () => {
          this.#received.delete(body);
          resolve(body);
        },
      };
      this.#received.add(body);
      this.#read(body, reader, maxBytes).then(body.settle, (error: Error) => {
        this.#received.delete(body);
        this.release(body);
        reject(error);
      });
    });
  }

  /** Stops keeping a body. */
  release(target: HeldBody): void {
    const body = target;
    this.#sizeBytes -= body.sizeBytes;
    body.sizeBytes = 0;
    body.bytes = new GrowingBuffer();
  }

  async #read(body: HeldBody, reader: BodyReader, maxBytes: number): Promise<void> {
    let { done, value } = await reader.read();
    while (!done) {
      if (value && !body.refusal) this.#keep(body, value, maxBytes);
      ({ done, value } = await reader.read());
    }
  }

  #keep(target: HeldBody, chunk: Uint8Array, maxBytes: number): void {
    const body = target;
    body.bytes.append(chunk);
    body.sizeBytes = body.bytes.sizeBytes;
    this.#sizeBytes += chunk.length;
    if (body.sizeBytes > maxBytes) this.#refuse(body, BodyRefusal.TooLarge);
    if (this.#sizeBytes > this.#maxBytes) this.#refuseLargest();
  }

  /** Refuses the largest incomplete body, so that a few large ones do not keep out the others. */
  #refuseLargest(): void {
    const [largest] = [...this.#received].sort((a, b) => b.sizeBytes - a.sizeBytes);
    if (largest) this.#refuse(largest, BodyRefusal.TooManyBytes);
  }

  #refuse(target: HeldBody, refusal: BodyRefusal): void {
    const body = target;
    body.refusal = refusal;
    this.release(body);
    body.settle();
  }
}

const readDeclaredBytes = (context: Context): number =>
  Number(context.req.header('content-length') ?? 0);

/**
 * Creates a middleware that receives the body of each request within limits before the request is
 * handled.
 *
 * @param limits - limits in bytes, and the response to a body beyond them
 *
 * @example
 * app.use(limitBodies({ findMaxBytes: () => 65_536, maxHeldBytes: 1_048_576, refuse }));
 */
export const limitBodies = ({
  findMaxBytes,
  maxHeldBytes,
  refuse,
}: BodyLimits): MiddlewareHandler => {
  const held = new HeldBodies(maxHeldBytes);
  const refuseBody = (context: Context, refusal: BodyRefusal): Context['res'] => {
    const createFields = () => ({ path: context.req.path, reason: refusal });
    logger.info(Date.now(), createFields, 'request body refused');
    return refuse(context, refusal);
  };
  return async (context, next) => {
    const { body: stream } = context.req.raw;
    if (!stream) return next();
    const maxBytes = findMaxBytes(context);
    const isTooLarge = readDeclaredBytes(context) > maxBytes;
    const reader = stream.getReader();
    const receiving = held.receive(reader, isTooLarge ? 0 : maxBytes);
    if (isTooLarge) {
      receiving.catch(() => undefined);
      return refuseBody(context, BodyRefusal.TooLarge);
    }
    const body = await receiving;
    if (body.refusal) return refuseBody(context, body.refusal);
    Object.assign(context.req.bodyCache, {
      arrayBuffer: Promise.resolve(new Uint8Array(body.bytes.take()).buffer),
    });
    try {
      return await next();
    } finally {
      held.release(body);
    }
  };
};
