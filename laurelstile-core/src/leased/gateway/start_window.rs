//! Congestion window for start batches sent to agents.
//!
//! The gateway's link may be narrow. Starts that are queued in it become stale and are refused
//! by agents, and sending them again adds to the congestion, which can then outlast the burst
//! that caused it: without a bound, three times the usual load for 5 s over links of 2 Mbit/s
//! ends the service for good. Beyond the window, starts therefore wait in the gateway, where the
//! most urgent one goes first and a job of which nothing was sent can still be refused.
//!
//! The window follows the time from sending a batch to the report that the agent has processed
//! it, since the starts also cause reports and ends on the return path. The minimum over
//! several batches is used: a congested link delays all of them, a slow agent only its own.

use std::collections::{BTreeMap, VecDeque};

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use crate::leased::timing::MAX_START_ECHO_AGE;

/// Minimum window: about six batches, so that the window can recover after it was reduced too
/// far.
const MIN_WINDOW_BYTES: u64 = 4 * 1024;
/// Initial window. At a gateway's usual load some 2 KB are in flight.
const INITIAL_WINDOW_BYTES: u64 = 16 * 1024;
/// Maximum window: what a link of 1 Gbit/s carries in 50 ms.
const MAX_WINDOW_BYTES: u64 = 6 * 1024 * 1024;
/// Target for the time from a batch to its report. An agent reports within 15 ms, and a start
/// is valid for 300 ms.
const TARGET_DELAY: Span = Span::from_millis(60);
/// Number of latest batches whose minimum delay is used.
const DELAY_SAMPLES: usize = 8;
/// Unreported batches older than this are stale or lost and are no longer counted.
const BATCH_EXPIRY: Span = MAX_START_ECHO_AGE;
/// Lower limit of the factor by which one step reduces the window.
const MIN_REDUCTION_FACTOR: f64 = 0.5;

/// A batch that no report has acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct Batch {
    sent_at: Timestamp,
    bytes: u64,
}

/// The window and the batches in flight.
#[derive(Debug)]
pub struct StartWindow {
    window_bytes: u64,
    in_flight_bytes: u64,
    batches: BTreeMap<(Incarnation, u64), Batch>,
    /// The batches in sending order.
    send_order: VecDeque<(Timestamp, Incarnation, u64)>,
    /// Delays of the latest reported batches.
    delays: VecDeque<Span>,
    last_reduced_at: Timestamp,
    /// Whether a start had to wait for the window since it was last enlarged.
    was_limited: bool,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            window_bytes: INITIAL_WINDOW_BYTES,
            in_flight_bytes: 0,
            batches: BTreeMap::new(),
            send_order: VecDeque::new(),
            delays: VecDeque::new(),
            last_reduced_at: Timestamp::default(),
            was_limited: false,
        }
    }
}

impl StartWindow {
    /// Whether the window has space for another batch.
    pub fn is_open(&self) -> bool {
        self.in_flight_bytes < self.window_bytes
    }

    /// Records that a start has to wait for the window.
    pub fn record_blocked(&mut self) {
        self.was_limited = true;
    }

    /// Current size of the window, in bytes.
    pub fn window_bytes(&self) -> u64 {
        self.window_bytes
    }

    /// Records a sent batch.
    pub fn on_sent(&mut self, now: Timestamp, agent: Incarnation, number: u64, bytes: u64) {
        self.batches.insert(
            (agent, number),
            Batch {
                sent_at: now,
                bytes,
            },
        );
        self.send_order.push_back((now, agent, number));
        self.in_flight_bytes += bytes;
    }

    /// Handles an agent's report that it has processed its batches up to number `processed`.
    pub fn on_report(&mut self, now: Timestamp, agent: Incarnation, processed: u64) {
        let reported = self.batches.range((agent, 0)..=(agent, processed));
        let numbers: Vec<u64> = reported.map(|((_, number), _)| *number).collect();
        let batches: Vec<Batch> = numbers
            .into_iter()
            .filter_map(|number| self.remove(agent, number))
            .collect();
        let Some(newest) = batches.last() else {
            return;
        };
        let delay = now.since(newest.sent_at);
        self.record_delay(delay);
        self.adapt(now, batches.iter().map(|batch| batch.bytes).sum());
    }

    /// Removes an agent's batches when its session begins or ends, since they will not be
    /// reported.
    pub fn remove_agent(&mut self, agent: Incarnation) {
        let of_agent = self.batches.range((agent, 0)..=(agent, u64::MAX));
        let numbers: Vec<u64> = of_agent.map(|((_, number), _)| *number).collect();
        for number in numbers {
            self.remove(agent, number);
        }
    }

    /// Removes batches that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((sent, agent, number)) = self.send_order.front().copied() {
            let is_known = self
                .batches
                .get(&(agent, number))
                .is_some_and(|batch| batch.sent_at == sent);
            if is_known && now.since(sent) < BATCH_EXPIRY {
                return;
            }
            self.send_order.pop_front();
            if is_known {
                self.remove(agent, number);
            }
        }
    }

    /// Expiry of the oldest tracked batch, or `None` if the window is open or nothing is
    /// tracked.
    pub fn opens_at(&self) -> Option<Timestamp> {
        let (sent, _, _) = self.send_order.front()?;
        (!self.is_open()).then(|| sent.after(BATCH_EXPIRY))
    }

    fn remove(&mut self, agent: Incarnation, number: u64) -> Option<Batch> {
        let batch = self.batches.remove(&(agent, number))?;
        self.in_flight_bytes -= batch.bytes;
        Some(batch)
    }

    fn record_delay(&mut self, delay: Span) {
        self.delays.push_back(delay);
        if self.delays.len() > DELAY_SAMPLES {
            self.delays.pop_front();
        }
    }

    /// Enlarges the window by the acknowledged bytes if it was the limit and the delay is on
    /// target. Otherwise shrinks it in proportion to the excess delay, at most once per delay.
    fn adapt(&mut self, now: Timestamp, acknowledged_bytes: u64) {
        if self.delays.len() < DELAY_SAMPLES {
            return;
        }
        let Some(delay) = self.delays.iter().min().copied() else {
            return;
        };
        if delay <= TARGET_DELAY {
            if self.was_limited {
                self.was_limited = !self.is_open();
                self.window_bytes = (self.window_bytes + acknowledged_bytes).min(MAX_WINDOW_BYTES);
            }
        } else if now.since(self.last_reduced_at) >= delay.max(TARGET_DELAY) {
            self.last_reduced_at = now;
            let factor = TARGET_DELAY.0 as f64 / delay.0 as f64;
            let reduced = self
                .window_bytes
                .min(self.in_flight_bytes.max(MIN_WINDOW_BYTES)) as f64;
            self.window_bytes =
                ((reduced * factor.max(MIN_REDUCTION_FACTOR)) as u64).max(MIN_WINDOW_BYTES);
        }
    }
}
