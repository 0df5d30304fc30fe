//! Past incarnations of the worker.

use std::collections::VecDeque;
use std::sync::Arc;

use laurelstile_types::time::{Span, Timestamp};

use super::super::worker_incarnation::WorkerIncarnation;

/// Number of incarnations remembered. Delayed messages of an incarnation arrive within seconds
/// of its end, and a worker restarts at most a few times in that period.
const MAX_INCARNATIONS: usize = 64;

/// How long an incarnation counts as about to exit after its deregistration. The process exits
/// within seconds; one that is heard from after this period is still in use.
const LEAVING_PERIOD: Span = Span::from_secs(30);

#[derive(Clone, Debug)]
struct PastIncarnation {
    incarnation: WorkerIncarnation,
    deregistered: Option<Timestamp>,
}

/// Incarnations of the worker that have ended or deregistered, by which delayed messages are
/// recognized.
#[derive(Debug, Default)]
pub struct PastIncarnations {
    entries: VecDeque<PastIncarnation>,
}

impl PastIncarnations {
    /// Records an incarnation that has ended.
    pub fn record_ended(&mut self, incarnation: WorkerIncarnation) {
        self.record(incarnation, None);
    }

    /// Records an incarnation that has deregistered.
    pub fn record_deregistered(&mut self, now: Timestamp, incarnation: WorkerIncarnation) {
        self.record(incarnation, Some(now));
    }

    /// Records a deregistration under an id that is not the current incarnation's. It is
    /// attributed to the latest known incarnation with that id, or to one without a start time.
    pub fn record_deregistered_id(&mut self, now: Timestamp, id: &Arc<str>) {
        let mut entries = self.entries.iter_mut().rev();
        match entries.find(|entry| entry.incarnation.id == *id) {
            Some(entry) => entry.deregistered = Some(now),
            None => {
                let id = Arc::clone(id);
                self.record_deregistered(
                    now,
                    WorkerIncarnation {
                        id,
                        started_at: None,
                    },
                );
            }
        }
    }

    /// Removes an incarnation that turned out to be running.
    pub fn forget(&mut self, incarnation: &WorkerIncarnation) {
        self.entries
            .retain(|entry| entry.incarnation != *incarnation);
    }

    /// Whether the incarnation is known to have ended or deregistered.
    pub fn contains(&self, incarnation: &WorkerIncarnation) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.incarnation == *incarnation)
    }

    /// Whether the incarnation has deregistered recently and may still be running.
    pub fn is_leaving(&self, now: Timestamp, incarnation: &WorkerIncarnation) -> bool {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.incarnation == *incarnation);
        let deregistered = entry.and_then(|entry| entry.deregistered);
        deregistered.is_some_and(|at| now.since(at) <= LEAVING_PERIOD)
    }

    fn record(&mut self, incarnation: WorkerIncarnation, deregistered: Option<Timestamp>) {
        let known = self
            .entries
            .iter_mut()
            .find(|entry| entry.incarnation == incarnation);
        if let Some(known) = known {
            known.deregistered = deregistered.or(known.deregistered);
            return;
        }
        if self.entries.len() == MAX_INCARNATIONS {
            self.entries.pop_front();
        }
        self.entries.push_back(PastIncarnation {
            incarnation,
            deregistered,
        });
    }
}
