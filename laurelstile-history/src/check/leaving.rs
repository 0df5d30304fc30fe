//! Leaving back ends: point 6.

use std::collections::BTreeMap;

use super::stopping::KILL;
use super::{Bounds, Point, Report, seconds};
use crate::event::{Event, PLATFORM, Record};

/// A back end that is known to leave.
struct Leaver<'a> {
    since: &'a Record,
    /// Whether only the machine list says so, which nobody keeps.
    only_listed: bool,
    /// Whether its agent ended since, and with it its memory.
    has_ended: bool,
}

/// Faults of the platform so far.
#[derive(Default)]
struct PlatformFaults {
    open: u32,
    last_end: u64,
}

impl PlatformFaults {
    /// Whether the machine list could be read all the time from `from` on.
    fn readable_since(&self, from: u64) -> bool {
        self.open == 0 && self.last_end <= from
    }
}

pub(super) fn check(records: &[Record], bounds: Bounds, report: &mut Report) {
    // The earliest time at which each back end was known to leave.
    let mut leavers: BTreeMap<&str, Leaver> = BTreeMap::new();
    let mut platform = PlatformFaults::default();
    for record in records {
        match &record.event {
            Event::ChangeAccepted {
                drains: Some(backend),
                ..
            } => note(&mut leavers, backend, record, false),
            Event::ListedLeaving { backend } => note(&mut leavers, backend, record, true),
            Event::FaultBegan { target, kind } => {
                if target == PLATFORM {
                    platform.open += 1;
                }
                if let Some(leaver) = leavers.get_mut(target.as_str()) {
                    leaver.has_ended |= kind == KILL;
                }
            }
            Event::StopEnded { target } => {
                if let Some(leaver) = leavers.get_mut(target.as_str()) {
                    leaver.has_ended = true;
                }
            }
            Event::FaultEnded { target, .. } if target == PLATFORM => {
                platform.open -= 1;
                platform.last_end = record.at_micros;
            }
            Event::TaskStarted { .. } => {
                if let Some(leaver) = leavers.get(record.node.as_str()) {
                    check_start(record, leaver, &platform, bounds, report);
                }
            }
            _ => {}
        }
    }
}

fn note<'a>(
    leavers: &mut BTreeMap<&'a str, Leaver<'a>>,
    backend: &'a str,
    record: &'a Record,
    only_listed: bool,
) {
    let leaver = leavers.entry(backend).or_insert(Leaver {
        since: record,
        only_listed,
        has_ended: false,
    });
    leaver.only_listed &= only_listed;
}

fn check_start(
    start: &Record,
    leaver: &Leaver,
    platform: &PlatformFaults,
    bounds: Bounds,
    report: &mut Report,
) {
    // A list that cannot be read tells a new agent nothing.
    let list_due_from = start.at_micros.saturating_sub(bounds.leaving_micros);
    if leaver.only_listed && leaver.has_ended && !platform.readable_since(list_due_from) {
        return;
    }
    let late = start.at_micros.saturating_sub(leaver.since.at_micros);
    report.drain_max_seconds = report.drain_max_seconds.max(seconds(late));
    if late > bounds.leaving_micros {
        let message = format!(
            "{} got a task {:.1} s after it was known to leave",
            start.node,
            seconds(late)
        );
        report.violate(Point::LeavingGetsNothing, message, [leaver.since, start]);
    }
}
