//! Detects that this gateway was cut off from all agents, and has it place nothing until it knows the
//! other gateways' claims.
//!
//! Agents reconnect sooner than gateways do. A job that was submitted in the meantime may be one that
//! another gateway holds.

use laurelstile_types::time::{Span, Timestamp};

use super::LeasedGateway;

/// Silence of all agents after which a gateway may have been cut off: more than the longest interval
/// between two heartbeats.
const ISOLATION_THRESHOLD: Span = Span::from_millis(1_100);
/// Maximum time for which nothing is placed after the first message of an agent.
const MAX_REJOIN_TIME: Span = Span::from_millis(500);
/// Interval between two claims without jobs, whose confirmations show that all earlier claims of the
/// others have arrived.
const PROBE_INTERVAL: Span = Span::from_millis(50);

/// Contact with agents, and the time in which a gateway that was cut off places nothing.
#[derive(Debug, Default)]
pub struct Rejoining {
    /// When a message of any agent last arrived.
    last_heard: Option<Timestamp>,
    /// When the first message arrived after the latest silence of all agents; `None` once the others
    /// have confirmed a claim since.
    since: Option<Timestamp>,
    next_probe_at: Timestamp,
}

impl Rejoining {
    fn until(&self) -> Option<Timestamp> {
        self.since.map(|since| since.after(MAX_REJOIN_TIME))
    }

    /// When the next claim is due, or the time is over. Claims are sent at `next_sending` at the earliest.
    pub fn next_due(&self, next_sending: Timestamp) -> Option<Timestamp> {
        let probe_at = self.next_probe_at.max(next_sending);
        self.until().map(|until| until.min(probe_at))
    }
}

impl LeasedGateway {
    /// Called for each message of an agent, before it is handled.
    pub(super) fn detect_isolation(&mut self, now: Timestamp) {
        let last_heard = self.rejoining.last_heard.replace(now);
        let silence = last_heard.map_or(Span::default(), |at| now.since(at));
        if silence > ISOLATION_THRESHOLD && !self.is_only_gateway() {
            self.rejoining.since = Some(now);
            self.rejoining.next_probe_at = now;
        }
    }

    /// Whether this gateway places nothing, as it may not know all claims.
    pub(super) fn is_rejoining(&self, now: Timestamp) -> bool {
        self.rejoining.until().is_some_and(|until| now < until)
    }

    /// Claims without jobs while this gateway rejoins the others.
    pub(super) fn probe_gateways(&mut self, now: Timestamp) {
        if self.rejoining.until().is_some_and(|until| now >= until) {
            self.rejoining.since = None;
        }
        if self.rejoining.since.is_some() && now >= self.rejoining.next_probe_at {
            self.rejoining.next_probe_at = now.after(PROBE_INTERVAL);
            self.claim(now, Vec::new());
        }
    }

    /// All other gateways have confirmed a claim that was sent at `sent_at`.
    pub(super) fn end_rejoining(&mut self, sent_at: Timestamp) {
        if self.rejoining.since.is_some_and(|since| sent_at >= since) {
            self.rejoining.since = None;
        }
    }
}
