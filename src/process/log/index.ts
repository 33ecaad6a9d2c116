/** Structured logging through roarr, filtered by level before a line is built. */
import { Roarr } from 'roarr';

/** Severity in the numbering of roarr; a larger number is more severe. */
export enum LogLevel {
  Trace = 10,
  Debug = 20,
  Info = 30,
  Warn = 40,
  Error = 50,
}

type Scalar = string | number | boolean | undefined;

/** Fields of one log line. Numbers carry their unit in the name. */
export type LogContext = Record<string, Scalar | string[] | number[]>;

export interface Logger {
  trace: (context: LogContext, message: string) => void;
  debug: (context: LogContext, message: string) => void;
  info: (context: LogContext, message: string) => void;
  warn: (context: LogContext, message: string) => void;
  error: (context: LogContext, message: string) => void;
}

interface LogState {
  level: LogLevel;
}

const state: LogState = { level: LogLevel.Info };

/**
 * Sets the least severe level that is written by this process.
 *
 * @param level - lines below it are dropped
 */
export const setLogLevel = (level: LogLevel): void => {
  state.level = level;
};

/**
 * Tells whether a line of this level would be written, so that a caller can skip preparing it.
 *
 * @param level - level of the line
 */
export const isLogged = (level: LogLevel): boolean => level >= state.level;

/**
 * Creates a logger whose lines carry the name of a component.
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
      if (isLogged(LogLevel.Trace)) log.trace(context, message);
    },
    debug: (context, message) => {
      if (isLogged(LogLevel.Debug)) log.debug(context, message);
    },
    info: (context, message) => {
      if (isLogged(LogLevel.Info)) log.info(context, message);
    },
    warn: (context, message) => {
      if (isLogged(LogLevel.Warn)) log.warn(context, message);
    },
    error: (context, message) => {
      if (isLogged(LogLevel.Error)) log.error(context, message);
    },
  };
};
