/** Reconstructs the events of one request from the logs of several processes. */

/** A log line about the request. */
export interface TraceEvent {
  /** Clock time of the process that wrote the line, in milliseconds since the epoch. */
  atMs: number;
  /** Name of the log file. */
  source: string;
  component: string;
  message: string;
  /** Context fields of the line, without those common to all lines. */
  facts: Record<string, unknown>;
}

const COMMON_FIELDS = new Set(['component', 'logLevel', 'requestId']);

const parseLine = (text: string): Record<string, unknown> | undefined => {
  // A log collector may prefix lines with a timestamp or a host name.
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    return JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
};

const isAboutRequest = (context: Record<string, unknown>, requestId: string): boolean =>
  context.requestId === requestId;

const parseEvent = (source: string, text: string, requestId: string): TraceEvent | undefined => {
  const line = text.includes(requestId) ? parseLine(text) : undefined;
  const context = line?.context as Record<string, unknown> | undefined;
  if (!line || !context || !isAboutRequest(context, requestId)) return undefined;
  const facts = Object.entries(context).filter(([name]) => !COMMON_FIELDS.has(name));
  return {
    atMs: Number(line.time),
    source,
    component: String(context.component ?? ''),
    message: String(line.message ?? ''),
    facts: Object.fromEntries(facts),
  };
};

/**
 * Collects the log lines of one request.
 *
 * @param logs - contents of the log files by file name
 * @param requestId - id of the request
 * @returns the events ordered by time; the order across VMs is subject to clock skew
 *
 * @example
 * traceRequest(new Map([['node-1.log', text]]), '9c41d07be2a35f68');
 */
export const traceRequest = (logs: Map<string, string>, requestId: string): TraceEvent[] =>
  [...logs]
    .flatMap(([source, content]) =>
      content.split('\n').flatMap((text) => parseEvent(source, text, requestId) ?? []),
    )
    .toSorted((left, right) => left.atMs - right.atMs);
