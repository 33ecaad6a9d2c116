/** Intervals, timeouts and limits of configuration distribution. */

/** Interval of heartbeats and renewals on an otherwise idle stream. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/**
 * Time without a message after which either side treats a stream as half-open. It equals the endpoint
 * lease and spans several heartbeats, so that one lost heartbeat does not end a stream.
 */
export const STREAM_SILENCE_MS = 3_000;

/**
 * Shortest time between two traffic reports of a node, also when they are passed on, and between two
 * messages with its shares of quotas. Both bear on decisions that are due within seconds.
 */
export const TRAFFIC_REPORT_INTERVAL_MS = 250;

/** Window in which endpoint changes are coalesced into one update. */
export const ENDPOINT_WINDOW_MS = 100;

/** Time within which a control VM must send the first message on a new stream. */
export const ATTACH_TIMEOUT_MS = 1_500;

/**
 * Time for which a node keeps a record that its control VM does not list. It exceeds the time in which
 * all nodes reattach to a control VM that restarted without its state.
 */
export const UNLISTED_RECORD_MS = 10_000;

/** First and largest upper limit of the exponential backoff with full jitter. */
export const BACKOFF_BASE_MS = 100;
export const BACKOFF_CAP_MS = 2_000;

/** Time without a control VM of the same data centre after which others are tried. */
export const REMOTE_FALLBACK_DELAY_MS = 500;

/** Interval at which a node attached to another data centre probes the control VMs of its own. */
export const LOCAL_PROBE_INTERVAL_MS = 5_000;

/** Time without a confirmed heartbeat after which a node probes other control VMs. */
export const UNCONFIRMED_TIMEOUT_MS = 5_000;

/** Interval of gossip rounds while no control VM is attached. */
export const GOSSIP_INTERVAL_MS = 1_000;

/**
 * Minimum time between two gossip rounds of a node. The first change after a pause is sent at once; the
 * changes of a burst, such as when many nodes start, are batched.
 */
export const GOSSIP_MIN_INTERVAL_MS = 250;

/** Number of peers in a gossip round after a change; a round without changes contacts one. */
export const GOSSIP_FANOUT = 3;

/** Number of peers that a node polls concurrently when it starts without a control VM. */
export const POLL_CONCURRENCY = 16;

/** Time after the start of a node for which it waits for a control VM before it polls its peers. */
export const CONTROL_WAIT_MS = 3_000;

/** Recent versions that a node retains as delta bases for its peers; they share unchanged rows. */
export const RETAINED_VERSIONS = 4;

/** Timeout of a unary call to another process. */
export const CALL_TIMEOUT_MS = 1_000;

/** Maximum number of concurrent snapshots per control VM. */
export const SNAPSHOT_SLOTS = 16;

/** Time after which a snapshot slot expires if the node does not report. */
export const SNAPSHOT_SLOT_TIMEOUT_MS = 5_000;

/** Minimum retry delay of a node that found no free snapshot slot. */
export const RETRY_AFTER_MS = 250;

/** Endpoint batches retained for reconnecting nodes; a node further behind gets the full directory. */
export const RETAINED_BATCHES = 512;

/** Largest message accepted from another process: far above any sheet, far below the memory budget. */
export const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;

/**
 * Time by which a version that a control VM confirms may be older than its heartbeat: a confirmed
 * follower lags behind the leader by at most one lease. The rest is a margin for clocks that differ
 * in rate.
 */
export const CONFIRMATION_LAG_MS = 650;

/** At least the lease of the replicated log. */
export const CONFIRMATION_LEASE_MS = 600;
