/** Structured logging with roarr. Lines are filtered by level before they are serialized. */
import { createWriteStream } from 'node:fs';

import isLoggingRequested from './_lib/enableRoarr.js';
import redactSecrets from './_lib/redactSecrets.js';
import LogSink from './_lib/LogSink.js';
import { ROARR, Roarr } from './_lib/roarr.js';

/** Severity in the numbering of roarr; a larger number is more severe. */
export enum LogLevel {
  Trace = 10,
  Debug = 20,
  Info = 30,
  Warn = 40,
  Error = 50,
}

type Scalar = string | number | boolean | undefined;

/** Fields of a log line. Names of numeric fields end with the unit. */
export type LogContext = Record<string, Scalar | string[] | number[]>;

export interface Logger {
  trace: (context: LogContext, message: string) => void;
  debug: (context: LogContext, message: string) => void;
  info: (context: LogContext, message: string) => void;
  warn: (context: LogContext, message: string) => void;
  error: (context: LogContext, message: string) => void;
}

/** Level and destination of the log. */
export interface LogOptions {
  level: LogLevel;
  /** `stdout`, `stderr` or the path of a file. */
  destination: string;
}

interface LogState {
  level: LogLevel;
  sink: LogSink | undefined;
  /** Lines dropped by sinks that have been closed. */
  droppedLines: number;
}

const openStandardSink = (stream: typeof process.stdout | typeof process.stderr): LogSink =>
  new LogSink(stream, { ownsStream: false, file: stream.fd });

/** Without a sink nothing is logged, so that the output of tests and short commands stays clean. */
const state: LogState = {
  level: LogLevel.Info,
  sink: isLoggingRequested ? openStandardSink(process.stdout) : undefined,
  droppedLines: 0,
};

ROARR.write = (line) => state.sink?.write(line);

/**
 * Sets the minimum level of the lines that this process writes.
 *
 * @param level - lines below it are dropped
 */
export const setLogLevel = (level: LogLevel): void => {
  state.level = level;
};

/**
 * Returns whether lines of a level are written, so that callers can skip building the context.
 *
 * @param level - level of the line
 */
export const isLogged = (level: LogLevel): boolean =>
  level >= state.level && state.sink !== undefined;

const openSink = (destination: string): LogSink => {
  if (destination === 'stdout') return openStandardSink(process.stdout);
  if (destination === 'stderr') return openStandardSink(process.stderr);
  const stream = createWriteStream(destination, { flags: 'a', mode: 0o640 });
  return new LogSink(stream, { ownsStream: true, file: destination });
};

/** Flushes the buffered lines and stops logging. */
export const closeLog = async (): Promise<void> => {
  const { sink } = state;
  state.sink = undefined;
  if (!sink) return;
  await sink.close();
  state.droppedLines += sink.droppedLines;
};

/**
 * Opens the log destination of this process. Before the first call nothing is written, unless
 * ROARR_LOG is set in the environment. Another call reopens the file, as log rotation requires on
 * SIGHUP.
 *
 * @param options - level and destination, as in `[log]` of the settings
 *
 * @example
 * await configureLog(settings.log);
 */
export const configureLog = async (options: LogOptions): Promise<void> => {
  const previous = state.sink;
  const sink = openSink(options.destination);
  state.level = options.level;
  state.sink = sink;
  await Promise.all([sink.opened, previous?.close()]);
  state.droppedLines += previous?.droppedLines ?? 0;
};

/** Returns the number of lines dropped because the destination was slow or failing. */
export const countDroppedLines = (): number => state.droppedLines + (state.sink?.droppedLines ?? 0);

/**
 * Creates a logger that adds the name of a component to every line.
 *
 * @param component - for example `replication`
 *
 * @example
 * createLogger('routing').info({ requestId: 'r1', version: 3 }, 'server chosen');
 */
export const createLogger = (component: string): Logger => {
  const log = Roarr.child({ component });
  return {
    trace: (context, message) => {
      if (isLogged(LogLevel.Trace)) log.trace(redactSecrets(context), message);
    },
    debug: (context, message) => {
      if (isLogged(LogLevel.Debug)) log.debug(redactSecrets(context), message);
    },
    info: (context, message) => {
      if (isLogged(LogLevel.Info)) log.info(redactSecrets(context), message);
    },
    warn: (context, message) => {
      if (isLogged(LogLevel.Warn)) log.warn(redactSecrets(context), message);
    },
    error: (context, message) => {
      if (isLogged(LogLevel.Error)) log.error(redactSecrets(context), message);
    },
  };
};

/**
 * Logs an error of a process that is about to end, before the call returns. Nothing is logged by the
 * usual loggers afterwards.
 *
 * @param component - for example `process`
 * @param context - fields of the line
 * @param message - what happened
 */
export const logFinalError = (component: string, context: LogContext, message: string): void => {
  const { sink } = state;
  ROARR.write = (line) => sink?.writeNow(line);
  createLogger(component).error(context, message);
  ROARR.write = () => undefined;
};
