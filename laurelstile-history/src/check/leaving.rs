//! Leaving back ends: point 6.

use std::collections::BTreeMap;

use super::{Bounds, Point, Report, seconds};
use crate::event::{Event, Record};

pub(super) fn check(records: &[Record], bounds: Bounds, report: &mut Report) {
    // The earliest time at which each back end was known to leave.
    let mut leaving: BTreeMap<&str, &Record> = BTreeMap::new();
    for record in records {
        match &record.event {
            Event::ChangeAccepted {
                drains: Some(backend),
                ..
            }
            | Event::ListedLeaving { backend } => {
                leaving.entry(backend).or_insert(record);
            }
            Event::TaskStarted { .. } => {
                let Some(since) = leaving.get(record.node.as_str()) else {
                    continue;
                };
                let late = record.at_micros.saturating_sub(since.at_micros);
                report.drain_max_seconds = report.drain_max_seconds.max(seconds(late));
                if late > bounds.leaving_micros {
                    let message = format!(
                        "{} got a task {:.1} s after it was known to leave",
                        record.node,
                        seconds(late)
                    );
                    report.violate(Point::LeavingGetsNothing, message, [since, record]);
                }
            }
            _ => {}
        }
    }
}
