//! The time bounds that gateways and agents share.
//!
//! Together they keep a task from running beside itself without anybody's word. An agent answers
//! for a run until its gateway's latest echo is [`OWNER_TIMEOUT`] old; it stops the run then, and
//! renews the worker's lease no more until the stop is proved; a worker kills what is not renewed
//! within [`LEASE_DURATION`]. So all is over [`RUNS_OVER_AFTER`] after the latest reading that the
//! gateway had of the agent's clock, whether or not the worker answers stops. The gateway repeats
//! nothing before [`AGENT_EXPIRY`], and callers hand in again [`CALLER_RETRY_DELAY`] after
//! their connection broke:
//!
//! | from | to | margin | eaten by |
//! | --- | --- | --- | --- |
//! | over, 1,165 ms | lapse, 1,265 ms | 100 ms | the worker's kill, its lists of ends |
//! | lapse, 1,265 ms | callers return, 1,300 ms | 35 ms | nothing: a caller's run starts later still |
//!
//! `tests/leased_timing.rs` holds these inequalities.

use laurelstile_types::time::Span;

/// How long a worker may run on after the last renewal, on its own clock.
pub const LEASE_DURATION: Span = Span::from_millis(700);
/// Longest that a worker's clock may make of [`LEASE_DURATION`]: it may be 2% slow.
pub const MAX_LEASE_DURATION: Span = Span::from_millis(715);
/// An agent stops the runs of a gateway whose latest echo is older than this.
pub const OWNER_TIMEOUT: Span = Span::from_millis(450);
/// A start is refused if its sender's echo is older than this.
pub const MAX_START_ECHO_AGE: Span = Span::from_millis(300);
/// How long a stop may take at a worker, with the way to it; and a kill, once a lease is over.
pub const MAX_STOP_TIME: Span = Span::from_millis(100);
/// From the latest reading that a gateway has had of an agent's clock until the lease of the
/// gateway's last run there is over.
pub const RUNS_OVER_AFTER: Span = Span(OWNER_TIMEOUT.0 + MAX_LEASE_DURATION.0);
/// Callers whose connection broke hand their job in again after so long, at any gateway.
pub const CALLER_RETRY_DELAY: Span = Span::from_millis(1_300);
/// After this silence of an agent its runs are over: it has stopped them, or
/// its worker has let them lapse.
pub const AGENT_EXPIRY: Span =
    Span::from_millis((OWNER_TIMEOUT.0 + MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0) / 1_000);
/// Heartbeat interval of a session with unresolved tasks, or that had some
/// within [`BUSY_LINGER`].
pub const BUSY_HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// How long a session that had tasks is kept as fresh as one that has some.
pub const BUSY_LINGER: Span = Span::from_secs(3);
/// Heartbeat interval of other sessions.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// An agent that has been silent for longer gets no start while it has
/// unresolved tasks.
pub const BUSY_SUSPECT_AFTER: Span = Span::from_millis(350);
/// An agent that has been silent for longer gets no start at all.
pub const IDLE_SUSPECT_AFTER: Span = Span::from_millis(2_200);
