//! The crashes of an agent's worker, and which gateways have been told of them.
//!
//! Gateways forget with their process. An agent keeps the last crashes and tells every
//! gateway that opens a session, so that a job that is handed in again after its gateway
//! was lost finds them known.

use std::collections::VecDeque;

use laurelstile_types::time::Span;

use super::super::crashes::{CrashedTask, WorkerCrash};
use super::super::worker_incarnation::WorkerIncarnation;
use super::ledger::Run;
use super::{LeasedAgent, LifeEnd};

/// Crashes of the worker that are kept. A worker is away for seconds after each, and
/// gateways remember crashes for a minute.
const MOST_CRASHES: usize = 16;

/// A crash within this part of a run's estimate is early, and so is any within
/// [`SURELY_EARLY`], the time in which agents notice.
const EARLY_PART: u64 = 16;
const SURELY_EARLY: Span = Span::from_millis(25);

/// The last crashes, each with a number that rises from 1.
#[derive(Debug, Default)]
pub struct CrashMemory {
    crashes: VecDeque<WorkerCrash>,
    last: u64,
}

impl CrashMemory {
    fn add(&mut self, crash: WorkerCrash) {
        self.crashes.push_back(crash);
        self.last += 1;
        if self.crashes.len() > MOST_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Number of the last crash; 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The crashes after the one of number `told`, as far as they are kept.
    pub fn after(&self, told: u64) -> Vec<WorkerCrash> {
        let news = usize::try_from(self.last.saturating_sub(told)).unwrap_or(usize::MAX);
        let known = self.crashes.len().saturating_sub(news);
        self.crashes.range(known..).cloned().collect()
    }
}

/// Whether a worker that dies when a run of it has this `age` dies early. A run of which nothing
/// shows that it was started may never have come.
pub fn is_early(run: &Run, age: Span) -> bool {
    if run.is_unconfirmed() {
        return false;
    }
    let bound = Span(run.estimate.0 / EARLY_PART).0.max(SURELY_EARLY.0);
    age.0 <= bound
}

impl LeasedAgent {
    /// Notes how a life has ended that had begun `tasks`. It has crashed unless the worker
    /// had said that it leaves: then its tasks have nothing to do with it.
    pub(super) fn note_life_end(
        &mut self,
        life: &WorkerIncarnation,
        was_draining: bool,
        end: LifeEnd,
        tasks: Vec<CrashedTask>,
    ) {
        let has_crashed = end != LifeEnd::Deregistered && !was_draining;
        if has_crashed && !tasks.is_empty() {
            self.crash_memory.add(WorkerCrash {
                incarnation: life.to_string(),
                runs: u32::try_from(tasks.len()).unwrap_or(u32::MAX),
                tasks,
            });
        }
    }
}
