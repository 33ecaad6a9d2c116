/** Intervals and limits of configuration distribution. */

/** Interval of heartbeats and renewals on an otherwise idle stream. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/**
 * Silence after which either side treats a stream as half-open. It equals the endpoint lease, so that
 * one lost heartbeat does not end a stream.
 */
export const STREAM_SILENCE_MS = 3_000;

/** Window in which endpoint changes are collected and coalesced into one update. */
export const ENDPOINT_WINDOW_MS = 100;

/** Time that a control VM may take to answer a new stream. */
export const ATTACH_TIMEOUT_MS = 1_500;

/**
 * Time for which a node keeps a record that its control VM does not list. It exceeds the time in which
 * every node returns to a control VM that lost its memory.
 */
export const UNLISTED_RECORD_MS = 10_000;

/** First and largest mean of the full-jitter exponential backoff. */
export const BACKOFF_BASE_MS = 100;
export const BACKOFF_CAP_MS = 2_000;

/** Time without any control VM of the own data centre after which others are tried. */
export const ELSEWHERE_DELAY_MS = 500;

/** Interval at which a node attached elsewhere looks for a control VM of its own data centre. */
export const HOME_PROBE_INTERVAL_MS = 5_000;

/** Time for which a node stays at a control VM that is not confirmed before it looks for another. */
export const UNCONFIRMED_PATIENCE_MS = 5_000;

/** Interval of gossip rounds while a node has no control VM. */
export const GOSSIP_INTERVAL_MS = 1_000;

/**
 * Shortest time between two gossip rounds of a node. The first change after a pause spreads at once;
 * a burst, as when many nodes start, is collected.
 */
export const GOSSIP_SPACING_MS = 250;

/** Peers per gossip round that follows a change; a round without news asks one. */
export const GOSSIP_FANOUT = 3;

/** Peers asked at the same time by a node that starts while cut off. */
export const SURVEY_CONCURRENCY = 16;

/** Time without a confirmed control VM after which a starting node counts as cut off. */
export const CUT_OFF_AFTER_MS = 3_000;

/** Recent versions that a node keeps to send deltas to its peers; unchanged rows are shared. */
export const KEPT_VERSIONS = 4;

/** Time that one unary call to another process may take. */
export const CALL_TIMEOUT_MS = 1_000;

/** Nodes to which one control VM sends a snapshot at the same time. */
export const SNAPSHOT_SLOTS = 16;

/** Time after which a snapshot slot is free even without a report of the node. */
export const SNAPSHOT_SLOT_MS = 5_000;

/** Shortest time after which a node that found no snapshot slot comes back. */
export const RETRY_AFTER_MS = 250;

/** Endpoint batches kept for nodes that reconnect; older ones get the full directory. */
export const KEPT_BATCHES = 512;

/** Largest message accepted from another process: far above any sheet, far below the memory budget. */
export const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;
