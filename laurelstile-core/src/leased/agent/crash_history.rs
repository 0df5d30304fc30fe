//! Recent crashes of the worker, reported to every gateway that opens a session.
//!
//! Gateways keep their crash records in memory only. Because the agent replays its own, a job
//! that is resubmitted after its gateway was lost still finds the earlier crashes on record.

use std::collections::VecDeque;

use laurelstile_types::time::Span;

use super::super::crashes::{CrashedTask, WorkerCrash};
use super::super::worker_incarnation::WorkerIncarnation;
use super::run_table::Run;
use super::{IncarnationEnd, LeasedAgent};

/// Number of crashes kept. A worker is down for seconds after each crash, and gateways keep
/// crash records for a minute.
const MAX_CRASHES: usize = 16;

/// A crash counts as early if the run's age is at most its estimate divided by this, or at most
/// [`MIN_EARLY_BOUND`], the time that an agent takes to notice a crash.
const EARLY_ESTIMATE_DIVISOR: u64 = 16;
const MIN_EARLY_BOUND: Span = Span::from_millis(25);

/// The most recent crashes, numbered consecutively from 1.
#[derive(Debug, Default)]
pub struct CrashHistory {
    crashes: VecDeque<WorkerCrash>,
    last: u64,
}

impl CrashHistory {
    fn add(&mut self, crash: WorkerCrash) {
        self.crashes.push_back(crash);
        self.last += 1;
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Number of the most recent crash; 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The crashes numbered above `number` that are still kept.
    pub fn after(&self, number: u64) -> Vec<WorkerCrash> {
        let newer = usize::try_from(self.last.saturating_sub(number)).unwrap_or(usize::MAX);
        let skipped = self.crashes.len().saturating_sub(newer);
        self.crashes.range(skipped..).cloned().collect()
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
            self.crash_history.add(WorkerCrash {
                incarnation: incarnation.to_string(),
                runs: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
                tasks,
            });
        }
    }
}
