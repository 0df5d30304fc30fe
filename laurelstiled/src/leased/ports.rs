//! The interfaces between gateways or agents and their platform. An adapter implements them and
//! only translates; timers, retries and decisions belong to the callers of these traits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::agent::worker::{CommandError, OutOfRange, Registration};
use laurelstile_core::leased::agent::{CommandAnswer, WatchAnswer, WorkerCommand};
use laurelstile_core::leased::gateway::queues::QueueConfiguration;
use thiserror::Error;
use tokio::sync::oneshot;

/// The worker that an agent controls.
pub trait WorkerPort: Send + Sync + 'static {
    /// Sends a start or stop command to the worker, and waits up to `timeout` for the answer.
    fn send_command(
        &self,
        command: &WorkerCommand,
        timeout: Duration,
    ) -> impl Future<Output = Result<CommandAnswer, CommandError>> + Send;

    /// Sends a watch to the worker, and waits up to `timeout` for the answer.
    fn watch(
        &self,
        command: &WorkerCommand,
        timeout: Duration,
    ) -> impl Future<Output = Result<WatchAnswer, CommandError>> + Send;
}

/// Reads the seeds again from the settings, which may have changed; `None` if the settings cannot
/// be read.
pub type SeedSource = Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>;

/// A call from the worker to the agent.
#[derive(Debug)]
pub enum WorkerRequest {
    /// A registration or heartbeat.
    Registered(Registration),
    /// A heartbeat that was rejected, since it does not describe a usable worker.
    Rejected {
        /// Worker id under which it was sent.
        id: Arc<str>,
        /// Why it was rejected.
        error: HeartbeatError,
    },
    /// The time remaining in a draining worker's heartbeat is unreadable and counts as not known. The
    /// rest of the heartbeat follows as a registration.
    RemainingIgnored {
        /// Worker id under which it was sent.
        id: Arc<str>,
        /// Why it is unreadable.
        error: serde_json::Error,
    },
    /// A deregistration. The worker exits once it has been answered.
    Deregistration {
        /// Worker id under which it was sent.
        id: Arc<str>,
        /// Signalled once the call may be answered; dropped if it never will be.
        answer: oneshot::Sender<()>,
    },
}

/// Why a heartbeat was rejected.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// The body is not JSON, or a field is missing, has another type or an unknown value.
    #[error("malformed heartbeat: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A number is one that no worker reaches.
    #[error("heartbeat with a number out of range: {0}")]
    OutOfRange(#[from] OutOfRange),
    /// The worker id or the service is empty.
    #[error("heartbeat without a worker id or service")]
    MissingName,
}

/// A record read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key, unique in the table.
    pub key: String,
    /// Content as written.
    pub value: Vec<u8>,
    /// Store version of the write that put it there; at least 1.
    pub version: u64,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The record was written.
    Replaced,
    /// The record has another version than expected; nothing was written.
    VersionMismatch,
}

/// A page of a table, read at one point in time.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The records in the order of their keys; without those that cannot be read.
    pub records: Vec<Record>,
    /// Key of the last record, which may be one that cannot be read; `None` if there is none.
    pub last_key: Option<String>,
    /// Whether records follow after the last one.
    pub has_more: bool,
    /// Version of the store at the time of the read.
    pub version: u64,
    /// Monotonic clock of the store, in milliseconds.
    pub now_millis: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store did not answer, or refused. A write may still have been applied.
    #[error("record store unavailable")]
    Unavailable,
    /// The store no longer keeps the changes after the requested version.
    #[error("record store no longer keeps changes since the requested version")]
    HistoryTruncated,
    /// The answer could not be parsed, or a value to be written could not be encoded.
    #[error("malformed answer from the record store, or value that cannot be encoded")]
    Malformed,
}

/// The record store, for data that must outlive every process.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads up to `limit` records of a table, from the key `from` on.
    fn list(
        &self,
        table: &str,
        from: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one record; `None` if there is none under the key.
    fn get(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Writes a record unconditionally.
    fn put(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a record if its present version is `expected`, or if there is none and `expected`
    /// is 0. A write that is applied late, after its call timed out, has therefore no effect once
    /// another write has succeeded.
    fn replace(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> impl Future<Output = Result<ReplaceOutcome, StoreError>> + Send;

    /// Removes a record.
    fn remove(&self, table: &str, key: &str)
    -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// Start or end of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the zone.
    pub zone: String,
    /// Whether the zone is evacuated from now on, so that its workers get no new tasks.
    pub is_evacuated: bool,
}

/// The operator's data, or changes of it.
#[derive(Clone, Debug, Default)]
pub struct OperatorUpdate {
    /// The newest configuration; `None` if it has not changed.
    pub configuration: Option<QueueConfiguration>,
    /// Starts and ends of evacuations, in order; in a snapshot, every zone that is evacuated.
    pub evacuations: Vec<EvacuationChange>,
    /// Store version after which the next changes are to be read.
    pub cursor: u64,
}

/// Source of the operator's configuration and evacuations.
pub trait OperatorSource: Send + Sync + 'static {
    /// Reads a snapshot of everything.
    fn read_all(&self) -> impl Future<Output = Result<OperatorUpdate, StoreError>> + Send;

    /// Reads the changes after `cursor`; waits up to `wait` for one.
    fn changes(
        &self,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorUpdate, StoreError>> + Send;
}
