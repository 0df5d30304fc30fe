//! The labels of a worker, from its heartbeats.
//!
//! A heartbeat may be delayed, or be another sender's that uses the worker's id. While heartbeats state
//! different labels, only those count that all of them state, so that no task starts on a worker without
//! the label that it requires.

use laurelstile_types::time::{Span, Timestamp};

/// Maximum number of different statements that are kept apart; the oldest ones beyond are merged.
const MAX_STATEMENTS: usize = 4;

/// Labels that heartbeats have stated lately.
#[derive(Clone, Debug)]
pub struct StatedLabels {
    /// Different statements, with the time of the latest heartbeat of each; oldest first.
    statements: Vec<(Timestamp, Vec<String>)>,
    /// The labels that all statements contain.
    usable: Vec<String>,
}

impl StatedLabels {
    /// Labels of a first heartbeat or of a record.
    pub fn new(now: Timestamp, labels: Vec<String>) -> Self {
        Self {
            statements: vec![(now, labels.clone())],
            usable: labels,
        }
    }

    /// The labels that may be relied on.
    pub fn usable(&self) -> &[String] {
        &self.usable
    }

    /// Records the labels in a heartbeat. A different statement counts until `retention` after its latest
    /// heartbeat. Returns whether the usable labels have changed.
    pub fn record(&mut self, now: Timestamp, labels: &[String], retention: Span) -> bool {
        self.statements
            .retain(|(at, stated)| now.since(*at) <= retention && !is_same_set(stated, labels));
        self.statements.push((now, labels.to_vec()));
        if self.statements.len() > MAX_STATEMENTS {
            let (_, oldest) = self.statements.remove(0);
            let (_, next) = &mut self.statements[0];
            next.retain(|label| oldest.contains(label));
        }
        let is_usable = |label: &&String| {
            let mut statements = self.statements.iter();
            statements.all(|(_, stated)| stated.contains(label))
        };
        let usable: Vec<String> = labels.iter().filter(is_usable).cloned().collect();
        let has_changed = !is_same_set(&usable, &self.usable);
        if has_changed {
            self.usable = usable;
        }
        has_changed
    }
}

fn is_same_set(one: &[String], other: &[String]) -> bool {
    one.iter().all(|label| other.contains(label)) && other.iter().all(|label| one.contains(label))
}
