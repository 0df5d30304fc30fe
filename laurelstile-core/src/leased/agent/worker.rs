//! What an agent knows of its worker: its life, its clock, its state.

use std::collections::BTreeSet;

use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::super::resources::Resources;
use super::super::task::RunId;
use super::super::worker_incarnation::WorkerIncarnation;

/// A reading of the worker's own steady clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// The span from `earlier` to this reading; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Span {
        Span::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Token that every order carries; the worker does nothing for a lower one
/// than it has seen.
///
/// It rises with each life that an agent follows, so that an order for the life before, which
/// comes late, is fenced off by the first order for the next. From agent to agent it rises with
/// the time of day of their machine: one agent stands beside a worker at a time. The worker's own
/// clock would not do, since it begins anew with each life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FenceToken(pub u64);

/// What a worker tells of itself when it registers and with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Which life of the worker speaks.
    pub life: WorkerIncarnation,
    /// The service that it serves.
    pub service: String,
    /// Its room.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<String>,
    /// Its clock.
    pub clock: WorkerClock,
    /// Whether it is to be given no more work.
    pub draining: bool,
    /// Rises with each of its life's heartbeats, so that a late one is known; 0 if the
    /// worker does not count them.
    #[serde(default)]
    pub sequence: u64,
}

/// What a later agent must know of a worker's life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownLife {
    /// What it has said of itself, with the least room that it has had.
    pub registration: Registration,
    /// Whether a later agent that did not know this would use the worker wrongly: it drains, or
    /// has less room than it said first.
    pub is_vital: bool,
}

/// How a worker says that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEndKind {
    /// Done.
    Done,
    /// Failed.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// Not renewed in time, or broken off for another reason.
    Lapsed,
}

/// An entry of the worker's list of ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEnd {
    /// Number of the entry in this life.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: WorkerEndKind,
}

/// A worker's lists of what runs and what has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerLists {
    /// What runs, with its progress in percent.
    pub running: Vec<(RunId, u32)>,
    /// What has ended and is not yet known to have been seen.
    pub ended: Vec<WorkerEnd>,
    /// Entries that could not be read. Each may be any run: that one is not listed proves
    /// nothing then.
    pub unreadable: usize,
}

impl WorkerLists {
    /// All runs that they name.
    pub fn shown(&self) -> BTreeSet<RunId> {
        let running = self.running.iter().map(|(run, _)| *run);
        running
            .chain(self.ended.iter().map(|end| end.run))
            .collect()
    }
}

/// Why an order had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a higher token.
    Fenced,
    /// It has seen this run or a later one.
    OldRun,
    /// The lease in the order is over.
    Late,
    /// There is no room.
    Full,
    /// The worker holds itself to be unwell.
    Unhealthy,
    /// The order is not understood, or not allowed.
    Invalid,
}

/// Why there is no answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// Nothing came in time: it may have been carried out, or may be later.
    NoAnswer,
    /// That life of the worker is over: another answers in its place.
    LifeOver,
    /// Nobody listens there: nothing was sent.
    Refused,
}

/// An estimate of the worker's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockEstimate {
    reading: WorkerClock,
    taken: Timestamp,
}

/// Rate of the slowest clock that a worker may have, in percent of this machine's.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// Age at which a reading is replaced even by one that lags behind it.
const READING_AGE_MICROS: u64 = 1_000_000;

impl ClockEstimate {
    /// Takes a reading in that came at `now`. A reading that took long to come
    /// lags; it replaces a better one only once that is old.
    pub fn update(&mut self, now: Timestamp, reading: WorkerClock) {
        let is_old = now.since(self.taken).0 > READING_AGE_MICROS;
        if is_old || reading >= self.at(now) {
            self.reading = reading;
            self.taken = now;
        }
    }

    /// The worker's clock at `now`, if it is as fast as this machine's.
    pub fn at(&self, now: Timestamp) -> WorkerClock {
        WorkerClock(self.reading.0 + now.since(self.taken).0 / 1_000)
    }

    /// What the worker's clock reads at `now` at least, however slow it may be. A lease that is
    /// counted from this is over in time: counted from [`Self::at`], with a reading 1 s old, it
    /// lasted up to 20 ms longer than [`super::super::timing::MAX_LEASE_DURATION`].
    pub fn at_least(&self, now: Timestamp) -> WorkerClock {
        let since = now.since(self.taken).0 * SLOWEST_CLOCK_PERCENT / 100_000;
        let before = self.taken.since(now).0.div_ceil(1_000);
        WorkerClock((self.reading.0 + since).saturating_sub(before))
    }
}
