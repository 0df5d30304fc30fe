//! What an agent knows of its worker: incarnation, clock, capacity and run lists.

use std::collections::BTreeSet;

use laurelstile_types::json::MAX_INTEGER;
use laurelstile_types::time::{Span, Timestamp};
use serde::{Deserialize, Serialize};

use super::super::checkpoint::Checkpoint;
use super::super::resources::Resources;
use super::super::task::RunId;
use super::super::worker_incarnation::WorkerIncarnation;

/// A reading of the worker's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerClock(pub u64);

impl WorkerClock {
    /// The time from `earlier` to this reading; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Span {
        Span::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The reading `span` before this one, saturating.
    pub fn before(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_millis()))
    }

    /// The reading `span` after this one, rounded down to milliseconds.
    pub fn after(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0 / 1_000))
    }
}

/// Fencing token of a command. The worker rejects a token lower than the highest that it has
/// seen.
///
/// The token rises with each incarnation that an agent follows, so that the first command for
/// the next incarnation fences off delayed commands for the previous one. A new agent starts from
/// the wall-clock time of its host, so that its tokens exceed those of the previous agent; a
/// worker has one agent at a time. The worker's own clock is unsuitable, since it restarts with
/// each incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FenceToken(pub u64);

/// What a worker reports when it registers and with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Incarnation of the worker that sent the registration.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Name of the service that the worker serves.
    pub service: String,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels that placement rules refer to.
    pub labels: Vec<String>,
    /// Reading of the worker's clock.
    pub clock: WorkerClock,
    /// Whether the worker is to get no more tasks.
    pub draining: bool,
    /// Rises with each heartbeat of an incarnation, so that delayed ones are recognized; 0 if
    /// the worker does not count them.
    #[serde(default)]
    pub sequence: u64,
    /// Least time from the reading of `clock` until the worker leaves; `None` if not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining: Option<Span>,
}

impl Registration {
    /// Earliest time at which the worker leaves, on its own clock; `None` if it does not drain or
    /// states no time. Taken from the clock reading of the same heartbeat, so that a delay of the
    /// heartbeat does not move it.
    pub fn departs_at(&self) -> Option<WorkerClock> {
        let remaining = self.remaining.filter(|_| self.draining)?;
        Some(self.clock.after(remaining))
    }
}

/// The name of a number in a registration that no worker reaches. It is another writer's, or
/// corrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: out of range")]
pub struct OutOfRange(pub &'static str);

impl Registration {
    /// Checks that the clock, the sequence and the start time are at most [`MAX_INTEGER`]. Later
    /// heartbeats would not exceed a larger one, and would be taken for delayed ones.
    ///
    /// # Errors
    /// [`OutOfRange`] with the name of the first number that is larger.
    pub fn check(&self) -> Result<(), OutOfRange> {
        let started_at = self.incarnation.started_at;
        let numbers = [
            ("clock", self.clock.0),
            ("sequence", self.sequence),
            ("start time", started_at.map_or(0, |time| time.0)),
        ];
        let wrong = numbers.iter().find(|(_, number)| *number > MAX_INTEGER);
        wrong.map_or(Ok(()), |(name, _)| Err(OutOfRange(name)))
    }
}

/// The record of an incarnation that is stored for the next agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The latest registration, with the smallest capacity reported so far.
    pub registration: Registration,
    /// The worker's clock when it made its latest statement; `None` if not known.
    pub stated_at: Option<WorkerClock>,
    /// Whether an agent without this record would misuse the worker, because the worker is
    /// draining or has reported less capacity than at first.
    pub is_vital: bool,
}

/// How a worker reports that a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEndKind {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The lease of the run expired, or the run was aborted for another reason.
    Expired,
}

/// An entry in the worker's list of ended runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerEnd {
    /// Number of the entry, rising within an incarnation.
    pub number: u64,
    /// Run that ended.
    pub run: RunId,
    /// Outcome of the run, as the worker reports it.
    pub how: WorkerEndKind,
}

/// A worker's lists of running and ended runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunLists {
    /// Runs in progress, with their progress in percent.
    pub running: Vec<(RunId, u32)>,
    /// Ended runs that the agent has not acknowledged yet.
    pub ended: Vec<WorkerEnd>,
    /// Saved progress of listed runs, of those that have any.
    pub checkpoints: Vec<(RunId, Checkpoint)>,
    /// Number of entries that could not be parsed. Each may be any run, so the absence of a run
    /// proves nothing unless this is 0.
    pub unreadable: usize,
}

impl RunLists {
    /// All runs in both lists.
    pub fn listed(&self) -> BTreeSet<RunId> {
        let running = self.running.iter().map(|(run, _)| *run);
        running
            .chain(self.ended.iter().map(|end| end.run))
            .collect()
    }
}

/// Why a worker did not carry out a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has seen this run of the task or a later one.
    OldRun,
    /// The lease in the command has expired.
    LeaseExpired,
    /// The worker's resources do not suffice.
    Full,
    /// The worker considers itself unhealthy.
    Unhealthy,
    /// The command is malformed or not permitted.
    Invalid,
}

/// Why a command got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// No answer arrived in time. The command may have been carried out, or may be yet.
    NoAnswer,
    /// The addressed incarnation has ended; another one answers in its place.
    IncarnationEnded,
    /// The connection was refused; nothing was sent.
    ConnectionRefused,
    /// A start was given up before it was sent, since [`super::MAX_PRESENCE_AGE`] had passed.
    Outdated,
}

/// An estimate of the worker's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockEstimate {
    reading: WorkerClock,
    taken: Timestamp,
    /// Whether the reading is from an answer of the worker rather than from a heartbeat.
    is_answer: bool,
}

/// Rate of the slowest clock that a worker may have, in percent of the agent's clock.
const SLOWEST_CLOCK_PERCENT: u64 = 98;
/// Age in microseconds above which a reading is replaced even by a lower one.
const MAX_READING_AGE_MICROS: u64 = 1_000_000;

impl ClockEstimate {
    /// Records a reading in an answer of the worker, received at `now`. A reading that was delayed on
    /// the way is too low; it replaces a higher one only once that is old, or from a heartbeat.
    pub fn update(&mut self, now: Timestamp, reading: WorkerClock) {
        if !self.is_answer || self.is_superseded_by(now, reading) {
            self.set(now, reading, true);
        }
    }

    /// Records a reading in a heartbeat. Another sender may use the worker's id, so it does not
    /// replace a recent answer of the worker.
    pub fn update_from_heartbeat(&mut self, now: Timestamp, reading: WorkerClock) {
        let has_recent_answer = self.is_answer && !self.is_old(now);
        if !has_recent_answer && self.is_superseded_by(now, reading) {
            self.set(now, reading, false);
        }
    }

    fn set(&mut self, now: Timestamp, reading: WorkerClock, is_answer: bool) {
        *self = Self {
            reading,
            taken: now,
            is_answer,
        };
    }

    fn is_superseded_by(&self, now: Timestamp, reading: WorkerClock) -> bool {
        self.is_old(now) || reading >= self.at(now)
    }

    fn is_old(&self, now: Timestamp) -> bool {
        now.since(self.taken).0 > MAX_READING_AGE_MICROS
    }

    /// The worker's clock at `now`, assuming that it runs at the same rate as the agent's.
    pub fn at(&self, now: Timestamp) -> WorkerClock {
        self.reading.after(now.since(self.taken))
    }

    /// Lower bound of the worker's clock at `now`, assuming the slowest permitted clock. Lease
    /// ends are computed from this, because one computed from [`Self::at`] with a reading that is
    /// 1 s old could exceed [`super::super::timing::MAX_LEASE_DURATION`] by 20 ms.
    pub fn lower_bound(&self, now: Timestamp) -> WorkerClock {
        let since = now.since(self.taken).0 * SLOWEST_CLOCK_PERCENT / 100_000;
        let before = self.taken.since(now).0.div_ceil(1_000);
        WorkerClock(self.reading.0.saturating_add(since).saturating_sub(before))
    }
}
