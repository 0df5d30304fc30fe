//! Estimates the ingress delay of callers' requests.
//!
//! Requests and agents' messages share the gateway's link. Requests carry no timestamp, but
//! agents' messages do. The queueing delay of the messages is therefore taken as that of the
//! requests and added to the age of their jobs, so that a job that can no longer complete on
//! time is refused at once, before any of its tasks runs.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::path_delay::PathDelay;

/// Number of latest messages whose minimum delay is used: a congested link delays all of them,
/// a slow agent only its own.
const DELAY_SAMPLES: usize = 8;
/// Maximum age of the oldest of the [`DELAY_SAMPLES`] latest messages.
const MAX_SAMPLE_AGE: Span = Span::from_millis(200);

/// Queueing delays of the latest messages from agents.
#[derive(Debug, Default)]
pub struct IngressDelay {
    paths: BTreeMap<Incarnation, PathDelay>,
    delays: VecDeque<(Timestamp, Span)>,
}

impl IngressDelay {
    /// Records a message that an agent sent at `clock`, on the agent's clock.
    pub fn record(&mut self, now: Timestamp, agent: Incarnation, clock: Timestamp) {
        let path = self.paths.entry(agent).or_default();
        let delay = path.record(clock, now);
        self.delays.push_back((now, delay));
        if self.delays.len() > DELAY_SAMPLES {
            self.delays.pop_front();
        }
    }

    /// Current ingress delay; zero if there are too few recent messages to tell.
    pub fn delay(&self, now: Timestamp) -> Span {
        let oldest = self.delays.front();
        let are_recent = oldest.is_some_and(|(at, _)| now.since(*at) <= MAX_SAMPLE_AGE);
        if self.delays.len() < DELAY_SAMPLES || !are_recent {
            return Span::default();
        }
        let delays = self.delays.iter().map(|(_, delay)| *delay);
        delays.min().unwrap_or_default()
    }

    /// Removes the path of an agent that will not return.
    pub fn remove_agent(&mut self, agent: Incarnation) {
        self.paths.remove(&agent);
    }
}
