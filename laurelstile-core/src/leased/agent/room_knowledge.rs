//! How long an agent may rely on what its worker last said of its room.
//!
//! A worker's room may shrink at any time, and its heartbeats alone tell. An agent that has
//! heard none for long - its machine was dark, it stood still, it has just started and knows
//! the worker from a record - starts nothing until the next one comes.

use laurelstile_types::time::{Span, Timestamp};

use super::{AgentDecision, AgentEffect, LeasedAgent};

/// How a worker's word about itself ages.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimes {
    /// Pause between two heartbeats of the worker.
    pub interval: Span,
    /// How long room that has shrunk may be used once the next heartbeat was due.
    pub grace: Span,
}

/// What is kept of the grace for a start that is on its way.
const IN_FLIGHT_MARGIN: Span = Span::from_millis(500);

impl HeartbeatTimes {
    /// How long a heartbeat is good for: until the next one in any case.
    fn heartbeat_validity(self) -> Span {
        let aged = (self.interval.0 + self.grace.0).saturating_sub(IN_FLIGHT_MARGIN.0);
        Span(aged.max(self.interval.0 + IN_FLIGHT_MARGIN.0))
    }
}

/// Until when the room of a worker's life may be relied on.
#[derive(Clone, Copy, Debug, Default)]
pub struct CapacityFreshness {
    fresh_until: Timestamp,
    /// Whether the log was told that it has aged.
    has_logged_staleness: bool,
}

impl CapacityFreshness {
    /// A heartbeat came.
    pub fn on_heartbeat(&mut self, now: Timestamp, times: HeartbeatTimes) {
        self.fresh_until = self.fresh_until.max(now.after(times.heartbeat_validity()));
        self.has_logged_staleness = false;
    }

    /// An earlier agent here was heard `silence` ago. The last heartbeat to it is older by
    /// an interval at the most.
    pub fn on_predecessor(&mut self, now: Timestamp, silence: Span, times: HeartbeatTimes) {
        let age = silence.0 + times.interval.0;
        let left = times.heartbeat_validity().0.saturating_sub(age);
        self.fresh_until = self.fresh_until.max(now.after(Span(left)));
    }

    /// Whether the room may be relied on.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        now < self.fresh_until
    }

    /// Whether it has aged, the first time that this is asked since the last heartbeat.
    pub fn take_staleness_notice(&mut self, now: Timestamp) -> bool {
        !self.is_fresh(now) && !std::mem::replace(&mut self.has_logged_staleness, true)
    }

    /// When that ends by time alone.
    pub fn fresh_until(&self) -> Timestamp {
        self.fresh_until
    }
}

impl LeasedAgent {
    /// Notes for the log, once, that nothing starts any more because the worker is not heard.
    pub(super) fn log_stale_capacity(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &self.worker else {
            return;
        };
        if self.capacity_freshness.take_staleness_notice(now) {
            let life = worker.name.clone();
            effects.push(AgentEffect::Decided(AgentDecision::RoomAged { life }));
        }
    }
}
