//! How many bytes of starts a gateway has under way to its agents.
//!
//! A gateway's link may be thin. Starts that wait in it grow stale, agents refuse them,
//! and sending them again fills the link further: without a bound, a burst of three times
//! the usual load for 5 s over links of 2 Mbit/s ends the service for the rest of a run,
//! long after the burst. So starts wait in the gateway instead, where the most urgent goes
//! first and a job of which nothing was sent can still be refused.
//!
//! The bound follows the time from a start to the report that it was taken in, there and
//! back, since what starts also brings reports and ends over the way in. The shortest of
//! some delays counts: a full link delays all batches, a slow or frozen agent its own.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use crate::leased::timing::MAX_START_ECHO_AGE;

/// Bytes that may always be under way: some six batches, so that a gateway that was
/// wrong about its link finds out.
const LEAST_BYTES: u64 = 4 * 1024;
/// Bytes at the begin. At the usual load of a gateway some 2 KB are under way.
const FIRST_BYTES: u64 = 16 * 1024;
/// More is never needed: as much as a link of 1 Gbit/s carries in 50 ms.
const MOST_BYTES: u64 = 6 * 1024 * 1024;
/// The time from a start to its report that is aimed at: an agent reports after up to
/// 15 ms, and a start stays good for 300 ms.
const AIMED_DELAY: Span = Span::from_millis(60);
/// Batches whose shortest delay counts.
const SAMPLES: usize = 8;
/// After so long a batch is taken for stale or lost, and counts no more.
const FORGOTTEN_AFTER: Span = MAX_START_ECHO_AGE;
/// The smallest part that is left of the bound in one step.
const LEAST_PART: f64 = 0.5;

/// A batch that no report has taken into account yet.
#[derive(Clone, Copy, Debug)]
struct Batch {
    sent: Timestamp,
    bytes: u64,
}

/// The bound, and what is under way.
#[derive(Debug)]
pub struct StartWindow {
    bound: u64,
    under_way: u64,
    batches: BTreeMap<(Incarnation, u64), Batch>,
    /// The same in the order in which they were sent.
    sent: VecDeque<(Timestamp, Incarnation, u64)>,
    /// Delays of the last batches that were reported.
    delays: VecDeque<Span>,
    lowered: Timestamp,
    /// Whether a start had to wait since the bound was last raised.
    was_full: bool,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            bound: FIRST_BYTES,
            under_way: 0,
            batches: BTreeMap::new(),
            sent: VecDeque::new(),
            delays: VecDeque::new(),
            lowered: Timestamp::default(),
            was_full: false,
        }
    }
}

impl StartWindow {
    /// Whether another batch may be sent.
    pub fn is_open(&self) -> bool {
        self.under_way < self.bound
    }

    /// Notes that a start waits for the window.
    pub fn note_full(&mut self) {
        self.was_full = true;
    }

    /// The bound, in bytes.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// A batch is sent.
    pub fn on_sent(&mut self, now: Timestamp, agent: Incarnation, number: u64, bytes: u64) {
        self.batches
            .insert((agent, number), Batch { sent: now, bytes });
        self.sent.push_back((now, agent, number));
        self.under_way += bytes;
    }

    /// An agent reports that it has taken in its batches up to `processed`.
    pub fn on_report(&mut self, now: Timestamp, agent: Incarnation, processed: u64) {
        let reported = self.batches.range((agent, 0)..=(agent, processed));
        let numbers: Vec<u64> = reported.map(|((_, number), _)| *number).collect();
        let batches: Vec<Batch> = numbers
            .into_iter()
            .filter_map(|number| self.remove(agent, number))
            .collect();
        let Some(youngest) = batches.last() else {
            return;
        };
        let delay = now.since(youngest.sent);
        self.note_delay(delay);
        self.adapt(now, batches.iter().map(|batch| batch.bytes).sum());
    }

    /// A session to an agent begins or ends: its batches are reported no more.
    pub fn forget(&mut self, agent: Incarnation) {
        let of_agent = self.batches.range((agent, 0)..=(agent, u64::MAX));
        let numbers: Vec<u64> = of_agent.map(|((_, number), _)| *number).collect();
        for number in numbers {
            self.remove(agent, number);
        }
    }

    /// Forgets what was sent so long ago that it is stale.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((sent, agent, number)) = self.sent.front().copied() {
            let is_known = self
                .batches
                .get(&(agent, number))
                .is_some_and(|batch| batch.sent == sent);
            if is_known && now.since(sent) < FORGOTTEN_AFTER {
                return;
            }
            self.sent.pop_front();
            if is_known {
                self.remove(agent, number);
            }
        }
    }

    /// When a batch under way is forgotten next, if that opens the window.
    pub fn opens_at(&self) -> Option<Timestamp> {
        let (sent, _, _) = self.sent.front()?;
        (!self.is_open()).then(|| sent.after(FORGOTTEN_AFTER))
    }

    fn remove(&mut self, agent: Incarnation, number: u64) -> Option<Batch> {
        let batch = self.batches.remove(&(agent, number))?;
        self.under_way -= batch.bytes;
        Some(batch)
    }

    fn note_delay(&mut self, delay: Span) {
        self.delays.push_back(delay);
        if self.delays.len() > SAMPLES {
            self.delays.pop_front();
        }
    }

    /// Raises the bound by what was carried in good time, if it was reached; lowers it
    /// by the part by which the delay is too long, once for each such delay.
    fn adapt(&mut self, now: Timestamp, carried: u64) {
        if self.delays.len() < SAMPLES {
            return;
        }
        let Some(delay) = self.delays.iter().min().copied() else {
            return;
        };
        if delay <= AIMED_DELAY {
            if self.was_full {
                self.was_full = !self.is_open();
                self.bound = (self.bound + carried).min(MOST_BYTES);
            }
        } else if now.since(self.lowered) >= delay.max(AIMED_DELAY) {
            self.lowered = now;
            let part = AIMED_DELAY.0 as f64 / delay.0 as f64;
            let lowered = self.bound.min(self.under_way.max(LEAST_BYTES)) as f64;
            self.bound = ((lowered * part.max(LEAST_PART)) as u64).max(LEAST_BYTES);
        }
    }
}
