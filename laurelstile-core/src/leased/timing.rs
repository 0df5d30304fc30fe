//! The time bounds that gateways and agents share.
//!
//! Together they keep a task from running beside itself without anybody's
//! word: an agent stops what it runs for a gateway that has been silent for
//! [`OWNER_SILENCE`], a worker kills what is not renewed within [`LEASE`], and
//! a gateway repeats nothing elsewhere before [`LAPSE_AFTER_SILENCE`] unless
//! the end of the earlier run is proved.

use laurelstile_types::time::Span;

/// How long a worker may run on after the last renewal, on its own clock.
pub const LEASE: Span = Span::from_millis(700);
/// Longest that a worker's clock may make of [`LEASE`]: it may be 2% slow.
pub const LEASE_AT_MOST: Span = Span::from_millis(715);
/// An agent stops the runs of a gateway whose latest echo is older than this.
pub const OWNER_SILENCE: Span = Span::from_millis(450);
/// A start is refused if its sender's echo is older than this.
pub const START_FRESHNESS: Span = Span::from_millis(300);
/// How long a stop may take at a worker, with the way to it.
pub const STOP_AT_MOST: Span = Span::from_millis(100);
/// After this silence of an agent its runs are over: it has stopped them, or
/// its worker has let them lapse.
pub const LAPSE_AFTER_SILENCE: Span =
    Span::from_millis((OWNER_SILENCE.0 + LEASE_AT_MOST.0 + STOP_AT_MOST.0) / 1_000);
/// Heartbeat interval of a session with unresolved tasks, or that had some
/// within [`RECENT`].
pub const BUSY_HEARTBEAT: Span = Span::from_millis(100);
/// How long a session that had tasks is kept as fresh as one that has some.
pub const RECENT: Span = Span::from_secs(3);
/// Heartbeat interval of other sessions.
pub const IDLE_HEARTBEAT: Span = Span::from_millis(1_000);
/// An agent that has been silent for longer gets no start while it has
/// unresolved tasks.
pub const BUSY_SUSPICION: Span = Span::from_millis(350);
/// An agent that has been silent for longer gets no start at all.
pub const IDLE_SUSPICION: Span = Span::from_millis(2_200);
