//! Time bounds that gateways and agents share.
//!
//! Together they ensure that two runs of a task never overlap, even without communication. An agent
//! is responsible for a run until its gateway's latest echo is [`OWNER_TIMEOUT`] old. It then stops
//! the run, and no longer renews the worker's lease until the stop is confirmed; a worker kills
//! runs whose lease is not renewed within [`LEASE_DURATION`]. All runs of a gateway are therefore
//! over [`RUNS_OVER_AFTER`] after the latest reading of the agent's clock that the gateway
//! received, whether or not the worker answers stops. The gateway retries nothing before
//! [`AGENT_EXPIRY`], and callers resubmit [`CALLER_RETRY_DELAY`] after their connection broke:
//!
//! | from | to | margin | needed for |
//! | --- | --- | --- | --- |
//! | runs over, 1,165 ms | agent expiry, 1,265 ms | 100 ms | the kill, and the report of ends |
//! | agent expiry, 1,265 ms | callers resubmit, 1,300 ms | 35 ms | nothing: runs start later |
//!
//! `tests/leased_timing.rs` checks these inequalities.

use laurelstile_types::time::Span;

/// How long a worker may run on after the last renewal, by its own clock.
pub const LEASE_DURATION: Span = Span::from_millis(700);
/// Maximum real duration of [`LEASE_DURATION`] on a worker's clock, which may be 2% slow.
pub const MAX_LEASE_DURATION: Span = Span::from_millis(715);
/// An agent stops the runs of a gateway whose latest echo is older than this.
pub const OWNER_TIMEOUT: Span = Span::from_millis(450);
/// An agent rejects a start if the sender's echo is older than this. Less than [`OWNER_TIMEOUT`].
pub const MAX_START_ECHO_AGE: Span = Span::from_millis(300);
/// Maximum time for a stop to reach a worker and take effect, and for a kill after a lease expired.
pub const MAX_STOP_TIME: Span = Span::from_millis(100);
/// Maximum time from the latest reading of an agent's clock that a gateway has received until the
/// leases of all the gateway's runs there have expired.
pub const RUNS_OVER_AFTER: Span = Span(OWNER_TIMEOUT.0 + MAX_LEASE_DURATION.0);
/// Maximum time for which a gateway holds a job, however long its caller waits.
pub const MAX_JOB_TIME: Span = Span::from_secs(120);
/// How long gateways and agents remember that a job was cancelled. Longer than [`MAX_JOB_TIME`], since
/// a gateway that is suspended or unreachable may hold the job, or not have read its submission yet.
pub const CANCEL_RETENTION: Span = Span::from_secs(150);
/// How long after a broken connection callers resubmit their job, at any gateway.
pub const CALLER_RETRY_DELAY: Span = Span::from_millis(1_300);
/// Silence of an agent after which a gateway may retry the tasks that it had there: the agent has
/// stopped their runs, or their leases have expired.
pub const AGENT_EXPIRY: Span =
    Span::from_millis((OWNER_TIMEOUT.0 + MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0) / 1_000);
/// How long a claim that the others have confirmed entitles a gateway to hold a job beyond
/// [`CALLER_RETRY_DELAY`], from when it was sent. The gateway then ends the job.
pub const CLAIM_LEASE: Span = Span::from_millis(1_000);
/// How long a claim is honored, from its arrival: until its gateway has ended the job, the last start
/// that it had sent is rejected as stale, and all its runs are over.
pub const CLAIM_HONOR_TIME: Span = Span(CLAIM_LEASE.0 + MAX_START_ECHO_AGE.0 + AGENT_EXPIRY.0);
/// Heartbeat interval of an agent to a gateway that has runs or unacknowledged ends there, or that
/// requested a start within [`BUSY_LINGER`]. A gateway sends an agent heartbeats at most this
/// often, except for the first of a session, which is sent at once.
pub const BUSY_HEARTBEAT_INTERVAL: Span = Span::from_millis(100);
/// How long a session counts as busy after the last start that the gateway requested.
pub const BUSY_LINGER: Span = Span::from_secs(3);
/// Heartbeat interval of an agent to other gateways.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// An agent that has been silent for longer gets no starts while it has unresolved tasks.
pub const BUSY_SUSPECT_AFTER: Span = Span::from_millis(350);
/// An agent that has been silent for longer gets no starts.
pub const IDLE_SUSPECT_AFTER: Span = Span::from_millis(2_200);
