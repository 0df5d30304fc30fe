//! How long the capacity that a worker last reported remains valid.
//!
//! A worker's capacity may shrink at any time, and only its heartbeats report that. An agent
//! that has not received one for long (because of a network outage, a suspension, or a recent
//! start from a record) starts nothing until the next one.

use laurelstile_types::time::{Span, Timestamp};

use super::{AgentDecision, AgentEffect, LeasedAgent};

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

impl HeartbeatTiming {
    /// How long a heartbeat keeps the capacity valid: at least until the next one.
    fn heartbeat_validity(self) -> Span {
        let validity = self.interval.0.saturating_add(self.grace.0);
        let validity = validity.saturating_sub(IN_FLIGHT_MARGIN.0);
        Span(validity.max(self.interval.0.saturating_add(IN_FLIGHT_MARGIN.0)))
    }
}

/// Until when the reported capacity of an incarnation is valid.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityFreshness {
    fresh_until: Timestamp,
    /// Whether its expiry has been logged.
    has_logged_staleness: bool,
}

impl CapacityFreshness {
    pub fn on_heartbeat(&mut self, now: Timestamp, timing: HeartbeatTiming) {
        self.fresh_until = self.fresh_until.max(now.after(timing.heartbeat_validity()));
        self.has_logged_staleness = false;
    }

    /// Extends the validity of the recorded capacity, if an earlier agent was heard `silence` ago.
    /// The last heartbeat of the worker that it received is at most one interval older.
    pub fn on_predecessor(&mut self, now: Timestamp, silence: Span, timing: HeartbeatTiming) {
        let age = silence.0.saturating_add(timing.interval.0);
        let remaining = timing.heartbeat_validity().0.saturating_sub(age);
        self.fresh_until = self.fresh_until.max(now.after(Span(remaining)));
    }

    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.fresh_until
    }

    /// Whether the capacity has become invalid; true only once between two heartbeats.
    pub fn take_staleness_notice(&mut self, now: Timestamp) -> bool {
        !self.is_fresh(now) && !std::mem::replace(&mut self.has_logged_staleness, true)
    }

    pub fn fresh_until(&self) -> Timestamp {
        self.fresh_until
    }
}

impl LeasedAgent {
    /// Logs, once, that nothing starts because the worker's heartbeats are missing.
    pub(super) fn log_stale_capacity(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &self.worker else {
            return;
        };
        if self.capacity_freshness.take_staleness_notice(now) {
            let incarnation = worker.incarnation.clone();
            effects.push(AgentEffect::Decided(AgentDecision::CapacityStale {
                incarnation,
            }));
        }
    }
}
