//! Judges a history by the eight points that must always hold.

mod answers;
mod configuration;
mod leaving;
mod linear;
mod stopping;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::event::Record;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Point {
    /// No task of a submission starts twice.
    StartsOnce,
    /// An answer is complete or failed.
    WholeOrFailed,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// What was refused as not run was not run.
    NotRunIsTrue,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A back end that is leaving gets no new work after a few seconds.
    LeavingGetsNothing,
    /// A planned stop cuts off no request in flight.
    StopCutsNothing,
    /// An accepted configuration is in force everywhere within seconds and
    /// never reverts.
    ConfigurationInForce,
}

/// Times that the checker allows.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// From the acceptance of a drain to the last start, in microseconds.
    pub leaving_micros: u64,
    /// From the acceptance of a configuration, or from the end of a fault on
    /// a node, until it is in force there, in microseconds.
    pub in_force_micros: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            leaving_micros: 5_000_000,
            in_force_micros: 7_000_000,
        }
    }
}

/// A broken point, with the events that show it.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The point.
    pub point: Point,
    /// What is wrong.
    pub message: String,
    /// The events that show it.
    pub events: Vec<Record>,
}

/// What the checker found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Jobs submitted.
    pub submissions: u64,
    /// Jobs answered whole.
    pub answered: u64,
    /// Jobs refused or failed as not run.
    pub refused_not_run: u64,
    /// Jobs that failed and may have run.
    pub failed: u64,
    /// Jobs whose connection was refused, broke, or timed out.
    pub lost: u64,
    /// Task starts at back ends.
    pub starts: u64,
    /// Faults begun, by kind.
    pub faults: BTreeMap<String, u64>,
    /// Longest time from the acceptance of a configuration until it was in
    /// force on a node without fault, in seconds.
    pub config_max_seconds_in_force: f64,
    /// Longest time from the acceptance of a drain to a start, in seconds.
    pub drain_max_seconds: f64,
    /// Requests cut off by planned stops.
    pub cut_off_by_planned_stop: u64,
    /// Claims whose order could not be judged, since an outcome is unknown.
    pub claims_not_judged: u64,
    /// Every broken point.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Number of violations of each broken point.
    pub fn violations_by_point(&self) -> BTreeMap<Point, u64> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.point).or_default() += 1;
        }
        counts
    }

    fn violate<'a>(
        &mut self,
        point: Point,
        message: impl Into<String>,
        events: impl IntoIterator<Item = &'a Record>,
    ) {
        self.violations.push(Violation {
            point,
            message: message.into(),
            events: events.into_iter().cloned().collect(),
        });
    }
}

/// Judges a history, given in the order of its times.
pub fn check(records: &[Record], bounds: Bounds) -> Report {
    let mut report = Report::default();
    answers::check(records, &mut report);
    leaving::check(records, bounds, &mut report);
    stopping::check(records, &mut report);
    configuration::check(records, bounds, &mut report);
    linear::check(records, &mut report);
    report
}

const MICROS_PER_SECOND: f64 = 1_000_000.0;

#[expect(clippy::cast_precision_loss, reason = "a figure for people")]
fn seconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}
