//! How long what comes to this gateway has waited on the way.
//!
//! Callers' calls and agents' messages come over one link. Calls tell no time, but agents'
//! messages carry their clock. So while they come late, calls have waited as long, and
//! their jobs count from then: what can no longer be served in time is refused at once,
//! with the truth that nothing of it ran.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::path_delay::PathDelay;

/// Messages whose shortest delay counts: a link that is full delays them all, an agent
/// that is slow its own.
const SAMPLES: usize = 8;
/// Messages count for so long.
const SAMPLE_AGE: Span = Span::from_millis(200);

/// The delays of the last messages.
#[derive(Debug, Default)]
pub struct WayIn {
    paths: BTreeMap<Incarnation, PathDelay>,
    delays: VecDeque<(Timestamp, Span)>,
}

impl WayIn {
    /// A message that an agent sent at `clock`, its own clock, is taken in.
    pub fn note(&mut self, now: Timestamp, agent: Incarnation, clock: Timestamp) {
        let path = self.paths.entry(agent).or_default();
        let delay = path.note(clock, now);
        self.delays.push_back((now, delay));
        if self.delays.len() > SAMPLES {
            self.delays.pop_front();
        }
    }

    /// How long what comes now has waited; none if too little came lately to tell.
    pub fn delay(&self, now: Timestamp) -> Span {
        let oldest = self.delays.front();
        let are_recent = oldest.is_some_and(|(at, _)| now.since(*at) <= SAMPLE_AGE);
        if self.delays.len() < SAMPLES || !are_recent {
            return Span::default();
        }
        let delays = self.delays.iter().map(|(_, delay)| *delay);
        delays.min().unwrap_or_default()
    }

    /// An agent is gone for good.
    pub fn forget(&mut self, agent: Incarnation) {
        self.paths.remove(&agent);
    }
}
