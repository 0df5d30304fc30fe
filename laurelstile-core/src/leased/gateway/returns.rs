//! When the callers of refused jobs may return.
//!
//! Callers that are all asked for the same delay return together and overload the gateway again.
//! Each refusal for lack of capacity therefore reserves a time for the return of its work: the first
//! whole second around which few enough other returns are reserved. Callers of the platform know whole
//! seconds only. Of the jobs refused at the same time, later priorities return no sooner than earlier
//! ones. Refusals for other reasons are spread by a hash: after a power failure all callers connect
//! within some milliseconds.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use laurelstile_types::time::{Span, Timestamp};

/// Minimum delay. The platform's callers know only whole seconds.
pub const MIN_RETRY_AFTER: Span = Span::from_millis(1_000);
/// Delays are multiples of this.
const DELAY_STEP: Span = Span::from_millis(1_000);
/// Range over which refusals without a drain rate are spread beyond the minimum. Agents and
/// neighbours reconnect within a second or two of a power failure.
const SPREAD: Span = Span::from_millis(2_000);

/// Part of the drain rate at which refused work returns. Callers that come for the first time need
/// the rest: a service that is overloaded at times only is used to some 0.6 otherwise.
const RETURNING_PART: f64 = 0.4;
/// Length of the time in which returns are limited: the one over which the requirement on their
/// peaks is stated.
const WINDOW: Span = Span::from_millis(100);
/// Resolution of reserved times.
const SLOT: Span = Span::from_millis(10);
const WINDOW_SLOTS: usize = 10;
/// Maximum time that one refused job reserves. The work of a job has no limit, and without a bound a
/// single one would delay the callers of all others.
const MAX_JOB_RESERVATION: Span = WINDOW;
/// Mean service time of refused jobs before any is known, as if [`RETURNING_PART`] of a hundred jobs a
/// second may return. The first rates are calculated from a short backlog, so each counts little
/// against it.
const INITIAL_MEAN_LENGTH: Span = Span::from_millis(25);
/// Refused jobs over which the mean of their service times is taken. Large jobs are rare, and the
/// time of a single one would leave a gap in the returns.
const MEAN_JOBS: u64 = 64;

/// Reserved returns of all services.
#[derive(Debug, Default)]
pub struct Returns {
    services: BTreeMap<String, Reservations>,
}

/// Reserved returns of a service.
#[derive(Debug)]
struct Reservations {
    /// Number of returns by the number of their slot since the epoch.
    slots: BTreeMap<u64, u32>,
    /// Mean time that the work of a refused job needs.
    mean_length: Span,
    /// When the last return was reserved, and the latest return by priority reserved at that time.
    reserved_at: Timestamp,
    latest: BTreeMap<u32, Span>,
}

impl Default for Reservations {
    fn default() -> Self {
        Self {
            slots: BTreeMap::new(),
            mean_length: INITIAL_MEAN_LENGTH,
            reserved_at: Timestamp::default(),
            latest: BTreeMap::new(),
        }
    }
}

impl Returns {
    /// Reserves a return for `work` core-milliseconds of a refused job at a part of `drain_rate`, in
    /// core-milliseconds per second; without a rate, the job counts like the mean of those before.
    /// Returns the delay, which is a number of whole seconds of at least [`MIN_RETRY_AFTER`], but at most
    /// `max`. If all times until then are full, it is the one with the fewest returns.
    pub fn reserve(
        &mut self,
        now: Timestamp,
        service: &str,
        priority: u32,
        work: u64,
        drain_rate: Option<f64>,
        max: Span,
    ) -> Span {
        if !self.services.contains_key(service) {
            let reservations = Reservations::default();
            self.services.insert(service.to_owned(), reservations);
        }
        let reservations = self.services.entry(service.to_owned()).or_default();
        reservations.remove_past(now);
        if let Some(rate) = drain_rate {
            reservations.add_length(service_time(work, rate * RETURNING_PART));
        }
        let delay = reservations.choose(now, priority, max);
        *reservations
            .slots
            .entry(slot_of(now.after(delay)))
            .or_default() += 1;
        let latest = reservations.latest.entry(priority).or_default();
        *latest = delay.max(*latest);
        delay
    }
}

impl Reservations {
    fn remove_past(&mut self, now: Timestamp) {
        let first = slot_of(now);
        if self
            .slots
            .first_key_value()
            .is_some_and(|(slot, _)| *slot < first)
        {
            self.slots = self.slots.split_off(&first);
        }
        if self.reserved_at != now {
            self.reserved_at = now;
            self.latest.clear();
        }
    }

    fn add_length(&mut self, length: Span) {
        let length = length.min(MAX_JOB_RESERVATION).0;
        let mean = self.mean_length.0;
        self.mean_length = Span((mean * (MEAN_JOBS - 1) + length) / MEAN_JOBS);
    }

    /// The first delay around which there is time left, or else the one with the fewest returns.
    fn choose(&self, now: Timestamp, priority: u32, max: Span) -> Span {
        let earliest = self.latest.range(..priority).map(|(_, delay)| *delay).max();
        let last = (max.0 / DELAY_STEP.0).max(1);
        let first = earliest.map_or(1, |delay| delay.0 / DELAY_STEP.0);
        let mut best = (u64::MAX, last);
        for steps in first..=last {
            let returns = self.returns_around(now.after(Span(steps * DELAY_STEP.0)));
            if returns * self.mean_length.0 < WINDOW.0 {
                return Span(steps * DELAY_STEP.0);
            }
            best = best.min((returns, steps));
        }
        Span(best.1 * DELAY_STEP.0)
    }

    /// The most returns reserved in any [`WINDOW`] that contains `time`.
    fn returns_around(&self, time: Timestamp) -> u64 {
        let first = slot_of(time).saturating_sub(WINDOW_SLOTS as u64 - 1);
        let mut counts = [0; 2 * WINDOW_SLOTS - 1];
        for (slot, count) in self.slots.range(first..first + counts.len() as u64) {
            if let Some(known) = usize::try_from(slot - first)
                .ok()
                .and_then(|index| counts.get_mut(index))
            {
                *known = u64::from(*count);
            }
        }
        let windows = counts
            .windows(WINDOW_SLOTS)
            .map(|window| window.iter().sum());
        windows.max().unwrap_or_default()
    }
}

fn slot_of(time: Timestamp) -> u64 {
    time.0 / SLOT.0
}

/// Delay of a refusal without a drain rate: `base`, at least [`MIN_RETRY_AFTER`], plus a part of
/// two seconds that depends on `key`; at most `max`.
pub fn spread(key: impl Hash, base: Span, max: Span) -> Span {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let part = hasher.finish() % SPREAD.0;
    let base = base.max(MIN_RETRY_AFTER);
    Span(base.0.saturating_add(part)).min(max)
}

/// Time in which `work` core-milliseconds are served.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "positive and below 2^52; the cast saturates"
)]
fn service_time(work: u64, drain_rate: f64) -> Span {
    Span((work as f64 / drain_rate.max(f64::MIN_POSITIVE) * 1e6) as u64)
}
