//! What gateways and agents need of the world. An adapter implements these
//! ports for a platform; it only translates. Timers, retries and decisions
//! stay on this side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::leased::agent::worker::{CommandError, Registration};
use laurelstile_core::leased::agent::{CommandAnswer, WatchAnswer, WorkerCommand};
use laurelstile_core::leased::gateway::queues::QueueConfiguration;
use thiserror::Error;
use tokio::sync::oneshot;

/// The worker beside an agent.
pub trait WorkerPort: Send + Sync + 'static {
    /// Carries a start or stop to the worker.
    fn order(
        &self,
        order: &WorkerCommand,
        limit: Duration,
    ) -> impl Future<Output = Result<CommandAnswer, CommandError>> + Send;

    /// Carries a watch to the worker.
    fn watch(
        &self,
        order: &WorkerCommand,
        limit: Duration,
    ) -> impl Future<Output = Result<WatchAnswer, CommandError>> + Send;
}

/// Reads the seeds again from the settings, which may have changed; `None` if
/// they cannot be read.
pub type SeedSource = Arc<dyn Fn() -> Option<Vec<SocketAddr>> + Send + Sync>;

/// What a worker says of itself, without being asked.
#[derive(Debug)]
pub enum WorkerNews {
    /// It has registered or sent a heartbeat.
    Registered(Registration),
    /// A heartbeat came that names no worker to use: it is another writer's.
    SetAside {
        /// The id under which it came.
        id: Arc<str>,
        /// Why.
        error: HeartbeatError,
    },
    /// It deregisters: it ends once that is answered.
    Deregistration {
        /// Its id.
        id: Arc<str>,
        /// To be told once it may be answered; dropped if nobody can say.
        answer: oneshot::Sender<()>,
    },
}

/// Why a heartbeat names no worker to use.
#[derive(Debug, Error)]
pub enum HeartbeatError {
    /// A field is missing, of another type or has an unknown value, or the bytes cannot be read.
    #[error("the heartbeat cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// It names no id, or no service.
    #[error("the heartbeat names no id, or no service")]
    Nameless,
}

/// A record of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Version that it was written with.
    pub version: u64,
}

/// Whether a record was written that had to have a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It was.
    Done,
    /// It has another version.
    Changed,
}

/// Some records of a table, as of one moment, in the order of their keys.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The records.
    pub records: Vec<Record>,
    /// Whether more follow.
    pub has_more: bool,
    /// Newest version of the store.
    pub version: u64,
    /// The store's steady clock, in milliseconds.
    pub now_millis: u64,
}

/// Why the store did not do as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// It cannot be reached, or refuses; a write may have been done.
    #[error("the record store cannot be reached")]
    Unavailable,
    /// Changes are no longer known so far back.
    #[error("the record store has forgotten that version")]
    HistoryGone,
    /// What it says cannot be understood.
    #[error("the record store's answer cannot be understood")]
    Garbled,
}

/// The record store: what must outlast all processes.
pub trait RecordStore: Send + Sync + 'static {
    /// Reads records of a table of the product's own, from the key `from` on, `limit` of
    /// them at most.
    fn list(
        &self,
        table: &str,
        from: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, StoreError>> + Send;

    /// Reads one record of it.
    fn get(
        &self,
        table: &str,
        key: &str,
    ) -> impl Future<Output = Result<Option<Record>, StoreError>> + Send;

    /// Writes a record of it, whatever stood there.
    fn put(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Writes a record of it if its version is `expected`, where 0 means that there is none. A
    /// write without an answer that is done late has no effect once another was done.
    fn replace(
        &self,
        table: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> impl Future<Output = Result<Replaced, StoreError>> + Send;

    /// Removes a record of it.
    fn remove(&self, table: &str, key: &str)
    -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// A zone that operators have evacuated, or taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the zone.
    pub zone: String,
    /// Whether its workers are to be given nothing.
    pub is_evacuated: bool,
}

/// A reading of what operators have left.
#[derive(Clone, Debug, Default)]
pub struct OperatorNews {
    /// The newest configuration, if there is a new one.
    pub configuration: Option<QueueConfiguration>,
    /// Zones whose evacuation has begun or ended, in order; of a whole reading, all that
    /// are evacuated.
    pub evacuations: Vec<EvacuationChange>,
    /// Version of the store to go on from.
    pub cursor: u64,
}

/// Where operators leave the configuration and say which zones are evacuated.
pub trait OperatorSource: Send + Sync + 'static {
    /// Reads all of it.
    fn read_all(&self) -> impl Future<Output = Result<OperatorNews, StoreError>> + Send;

    /// Waits for a change after `cursor`, for `wait` at the most.
    fn changes(
        &self,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<OperatorNews, StoreError>> + Send;
}
