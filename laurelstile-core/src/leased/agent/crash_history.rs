//! Recent crashes of the worker, reported to every gateway that opens a session.
//!
//! Gateways keep their crash records in memory only. Because the agent replays its own, a job
//! that is resubmitted after its gateway was lost still finds the earlier crashes on record.

use std::collections::VecDeque;

use laurelstile_types::time::Span;

use super::super::crashes::{CrashEvidence, CrashedTask, WorkerCrash};
use super::super::worker_incarnation::WorkerIncarnation;
use super::run_table::Run;
use super::{IncarnationEnd, LeasedAgent};

/// Number of crashes kept. A worker is down for seconds after each crash, and gateways keep
/// crash records for a minute.
const MAX_CRASHES: usize = 16;
/// Number of pieces of evidence kept: two for each crash.
const MAX_EVIDENCE: usize = 2 * MAX_CRASHES;

/// A crash counts as early if the run's age is at most its estimate divided by this, or at most
/// [`MIN_EARLY_BOUND`], the time that an agent takes to notice a crash.
const EARLY_ESTIMATE_DIVISOR: u64 = 16;
const MIN_EARLY_BOUND: Span = Span::from_millis(25);

/// Recent entries, numbered consecutively from 1.
#[derive(Debug)]
struct NumberedLog<T> {
    entries: VecDeque<T>,
    max_entries: usize,
    last: u64,
}

impl<T: Clone> NumberedLog<T> {
    fn new(max_entries: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            max_entries,
            last: 0,
        }
    }

    fn add(&mut self, entry: T) {
        self.entries.push_back(entry);
        self.last += 1;
        if self.entries.len() > self.max_entries {
            self.entries.pop_front();
        }
    }

    /// The entries numbered above `number` that are still kept. Earlier ones are repeated if some have
    /// been removed.
    fn after(&self, number: u64) -> Vec<T> {
        let newer = usize::try_from(self.last.saturating_sub(number)).unwrap_or(usize::MAX);
        let skipped = self.entries.len().saturating_sub(newer);
        self.entries.range(skipped..).cloned().collect()
    }
}

/// Numbers of the latest crash and the latest evidence that were sent on a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedCrashes {
    crash: u64,
    evidence: u64,
}

/// The most recent crashes, and what is known of those that have not been confirmed.
#[derive(Debug)]
pub struct CrashHistory {
    crashes: NumberedLog<WorkerCrash>,
    evidence: NumberedLog<CrashEvidence>,
    /// Incarnations that may have crashed.
    presumed: Vec<WorkerIncarnation>,
}

impl Default for CrashHistory {
    fn default() -> Self {
        Self {
            crashes: NumberedLog::new(MAX_CRASHES),
            evidence: NumberedLog::new(MAX_EVIDENCE),
            presumed: Vec::new(),
        }
    }
}

impl CrashHistory {
    /// What has been sent to a gateway that was sent everything.
    pub fn latest(&self) -> ReportedCrashes {
        ReportedCrashes {
            crash: self.crashes.last,
            evidence: self.evidence.last,
        }
    }

    /// The crashes that a gateway has not been sent.
    pub fn crashes_after(&self, reported: ReportedCrashes) -> Vec<WorkerCrash> {
        self.crashes.after(reported.crash)
    }

    /// The evidence that a gateway has not been sent.
    pub fn evidence_after(&self, reported: ReportedCrashes) -> Vec<CrashEvidence> {
        self.evidence.after(reported.evidence)
    }

    /// Records that an incarnation may have crashed, which had started `tasks`.
    pub fn presume(&mut self, incarnation: &WorkerIncarnation, tasks: Vec<CrashedTask>) {
        if tasks.is_empty() || self.presumed.contains(incarnation) {
            return;
        }
        self.presumed.push(incarnation.clone());
        let crash = worker_crash(incarnation, tasks);
        self.evidence.add(CrashEvidence::Presumed(crash));
    }

    /// Confirms the crash of an incarnation that may have crashed.
    pub fn confirm(&mut self, incarnation: &WorkerIncarnation) {
        if self.remove_presumed(incarnation) {
            let confirmed = CrashEvidence::Confirmed(incarnation.to_string());
            self.evidence.add(confirmed);
        }
    }

    /// Withdraws the crash of an incarnation that has not crashed.
    pub fn withdraw(&mut self, incarnation: &WorkerIncarnation) {
        if self.remove_presumed(incarnation) {
            let name = incarnation.to_string();
            let crashes = &mut self.crashes.entries;
            crashes.retain(|crash| crash.incarnation != name);
            self.evidence.add(CrashEvidence::Withdrawn(name));
        }
    }

    /// Withdraws the crashes of incarnations with an id that has deregistered.
    pub fn withdraw_id(&mut self, id: &str) {
        let presumed = self.presumed.iter();
        let of_id = presumed.filter(|presumed| *presumed.id == *id);
        for incarnation in of_id.cloned().collect::<Vec<_>>() {
            self.withdraw(&incarnation);
        }
    }

    /// Records that an incarnation runs: it has not crashed, and those before it have.
    pub fn on_running(&mut self, running: &WorkerIncarnation) {
        for incarnation in self.presumed.clone() {
            if incarnation == *running {
                self.withdraw(&incarnation);
            } else {
                self.confirm(&incarnation);
            }
        }
    }

    fn remove_presumed(&mut self, incarnation: &WorkerIncarnation) -> bool {
        let count = self.presumed.len();
        self.presumed.retain(|presumed| presumed != incarnation);
        self.presumed.len() < count
    }
}

fn worker_crash(incarnation: &WorkerIncarnation, tasks: Vec<CrashedTask>) -> WorkerCrash {
    WorkerCrash {
        incarnation: incarnation.to_string(),
        runs: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
        tasks,
    }
}

/// Whether a worker crash counts as early for a run of this `age`. Never true for a run whose
/// start is unconfirmed: the worker may not have received it.
pub fn is_early(run: &Run, age: Span) -> bool {
    if run.is_unconfirmed() {
        return false;
    }
    let bound = Span(run.estimate.0 / EARLY_ESTIMATE_DIVISOR)
        .0
        .max(MIN_EARLY_BOUND.0);
    age.0 <= bound
}

impl LeasedAgent {
    /// Records a crash of the incarnation that had started `tasks`, unless it had announced its
    /// shutdown by draining or deregistering.
    pub(super) fn record_crash(
        &mut self,
        incarnation: &WorkerIncarnation,
        was_draining: bool,
        end: IncarnationEnd,
        tasks: Vec<CrashedTask>,
    ) {
        let has_crashed = end != IncarnationEnd::Deregistered && !was_draining;
        if has_crashed && !tasks.is_empty() {
            let crash = worker_crash(incarnation, tasks);
            self.crash_history.crashes.add(crash);
        }
    }
}
