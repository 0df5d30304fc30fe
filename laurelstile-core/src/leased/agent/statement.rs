//! The latest statement of the worker about itself, and how old it can be.
//!
//! A heartbeat may be held up on its way for any time, so its arrival does not date it. The worker's
//! clock in it does, with a reading of that clock that the agent has asked for. What cannot be dated in
//! this way is as old as it can be.

use laurelstile_types::time::{Span, Timestamp};

use super::asked_reading::AskedReading;
use super::worker::WorkerClock;
use super::worker_state::WorkerState;
use super::{AgentDecision, AgentEffect, IncarnationSource, LeasedAgent};

/// Timing of a worker's heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTiming {
    /// Interval between two heartbeats of the worker.
    pub interval: Span,
    /// How long after the next heartbeat was due an outdated capacity may still be used.
    pub grace: Span,
}

/// Part of the grace period reserved for starts in flight.
const IN_FLIGHT_MARGIN: Span = Span::from_millis(500);
/// Age of an arriving heartbeat from which on the agent asks for the worker's clock: the heartbeat was
/// held up, or the last reading is so old that the rates of the clocks matter.
const MAX_ASSUMED_AGE: Span = Span::from_millis(500);
impl HeartbeatTiming {
    /// How long a statement may be used: at least until the next heartbeat.
    fn statement_validity(self) -> Span {
        let validity = self.interval.0.saturating_add(self.grace.0);
        let validity = validity.saturating_sub(IN_FLIGHT_MARGIN.0);
        Span(validity.max(self.interval.0.saturating_add(IN_FLIGHT_MARGIN.0)))
    }
}

/// Whether a heartbeat may be this old when it arrives, so that it may have been held up.
pub fn is_held_up(age: Option<Span>) -> bool {
    age.is_some_and(|age| age > MAX_ASSUMED_AGE)
}

/// When the worker made its latest statement of capacity, labels and service.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// The worker's clock when it made the statement; `None` if not known.
    pub made_at: Option<WorkerClock>,
    /// When the statement arrived. The worker made it no later.
    pub arrived_at: Timestamp,
    /// Whether its expiry has been logged.
    has_logged_staleness: bool,
}

impl Statement {
    /// A statement that arrived at `arrived_at` and was made when the worker's clock showed `made_at`.
    pub fn new(arrived_at: Timestamp, made_at: Option<WorkerClock>) -> Self {
        Self {
            made_at,
            arrived_at,
            has_logged_staleness: false,
        }
    }

    /// Upper bound of its age; `None` if there is no bound.
    pub fn max_age(&self, now: Timestamp, asked: Option<AskedReading>) -> Option<Span> {
        let age = asked?.max_age(now, self.made_at?);
        Some(age.max(now.since(self.arrived_at)))
    }
}

impl WorkerState {
    /// Records a reading in an answer of this incarnation. A clock that has run backwards is that of
    /// another process, also where the answer does not carry its start time.
    pub fn record_asked_reading(&mut self, now: Timestamp, asked: AskedReading) {
        if self.is_of_other_process(asked) {
            self.forget_statement();
        }
        // A record is older than any answer, unless the clock in it is not that of this process.
        let is_recorded = self.source == IncarnationSource::Record;
        if is_recorded && self.statement.made_at > Some(asked.reading) {
            self.statement.made_at = None;
        }
        self.asked_reading = Some(match self.asked_reading {
            None => asked,
            Some(known) => known.closer(asked, now),
        });
    }

    /// Whether a reading shows that another process than the one that answered before has answered now.
    pub fn is_of_other_process(&self, asked: AskedReading) -> bool {
        let known = self.asked_reading;
        known.is_some_and(|known| known.is_contradicted_by(asked))
    }

    /// Discards the latest statement, which is that of an earlier process.
    pub fn forget_statement(&mut self) {
        self.statement.made_at = None;
        self.asked_reading = None;
    }

    /// Upper bound of the age of a heartbeat that arrives now; `None` if there is no bound.
    pub fn max_heartbeat_age(&self, now: Timestamp, clock: WorkerClock) -> Option<Span> {
        Statement::new(now, Some(clock)).max_age(now, self.asked_reading)
    }

    /// Records a heartbeat that was made when the worker's clock showed `clock`.
    pub fn record_statement(&mut self, now: Timestamp, clock: WorkerClock) {
        self.statement = Statement::new(now, Some(clock));
        let age = self.max_heartbeat_age(now, clock);
        self.wants_watch |= age.is_none() || is_held_up(age);
    }

    /// How much longer the latest statement may be used; zero if it may not be used.
    pub fn statement_validity_left(&self, now: Timestamp, timing: HeartbeatTiming) -> Span {
        let age = self.statement.max_age(now, self.asked_reading);
        let validity = timing.statement_validity();
        age.map_or(Span::default(), |age| {
            Span(validity.0.saturating_sub(age.0))
        })
    }

    /// Whether the latest statement is proved to be old, or arrived so long ago.
    fn is_statement_stale(&self, now: Timestamp, timing: HeartbeatTiming) -> bool {
        let since_arrival = now.since(self.statement.arrived_at);
        let age = self.statement.max_age(now, self.asked_reading);
        age.unwrap_or(since_arrival) >= timing.statement_validity()
    }
}

impl LeasedAgent {
    /// Whether the worker's latest statement may be used.
    pub(super) fn has_fresh_statement(&self, now: Timestamp) -> bool {
        self.statement_expires_at(now).is_some()
    }

    /// When the worker's latest statement expires; `None` if it may not be used now.
    pub(super) fn statement_expires_at(&self, now: Timestamp) -> Option<Timestamp> {
        let worker = self.worker.as_ref()?;
        let left = worker.statement_validity_left(now, self.options.heartbeats);
        (left > Span::default()).then(|| now.after(left))
    }

    /// Logs, once per statement, that nothing starts because the worker's heartbeats are missing.
    pub(super) fn log_stale_statement(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let timing = self.options.heartbeats;
        let is_stale = |worker: &&mut WorkerState| worker.is_statement_stale(now, timing);
        let Some(worker) = self.worker.as_mut().filter(is_stale) else {
            return;
        };
        if !std::mem::replace(&mut worker.statement.has_logged_staleness, true) {
            effects.push(AgentEffect::Decided(AgentDecision::CapacityStale {
                incarnation: worker.incarnation.clone(),
                max_age: worker.statement.max_age(now, worker.asked_reading),
                since_arrival: now.since(worker.statement.arrived_at),
            }));
        }
    }
}
