//! Runs of earlier submissions of a job.
//!
//! A caller may submit its job again while agents still have to report the end of runs of its earlier
//! submission. Run numbers rise over submissions, so that such a report is not taken for the end of
//! a present run, and a task is not placed before its earlier run has ended.

use std::collections::VecDeque;

use laurelstile_types::time::{Span, Timestamp};

use super::job::{Job, TaskState};
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::messages::EndKind;
use crate::leased::task::{JobId, RunId, RunNumber, TaskId};

/// How long the run numbers of a removed job are kept. Agents that were suspended or unreachable
/// for longer report no ends of its runs.
const RETENTION: Span = Span::from_secs(10);
/// Maximum number of jobs whose run numbers are kept; beyond this the oldest are dropped.
const MAX_JOBS: usize = 8_192;

/// The highest run numbers of recently removed jobs.
#[derive(Debug, Default)]
pub struct EarlierRuns {
    jobs: VecDeque<(Timestamp, JobId, RunNumber)>,
}

impl EarlierRuns {
    /// Records that a job was removed whose runs were numbered up to `last`.
    pub fn record(&mut self, now: Timestamp, job: JobId, last: RunNumber) {
        if last == RunNumber::default() {
            return;
        }
        while self
            .jobs
            .front()
            .is_some_and(|(at, _, _)| now.since(*at) > RETENTION)
        {
            self.jobs.pop_front();
        }
        if self.jobs.len() >= MAX_JOBS {
            self.jobs.pop_front();
        }
        self.jobs.push_back((now, job, last));
    }

    /// The highest run number of earlier submissions of a job; 0 if none is known.
    pub fn last_of(&self, job: JobId) -> RunNumber {
        let known = self.jobs.iter().rev().find(|(_, known, _)| *known == job);
        known.map(|(_, _, last)| *last).unwrap_or_default()
    }
}

impl LeasedGateway {
    /// Numbers the runs of a new submission above those of earlier ones, and has its tasks wait for
    /// runs that have not ended.
    pub(super) fn await_earlier_runs(&self, job: &mut Job, effects: &mut Vec<GatewayEffect>) {
        job.number_runs_after(self.earlier_runs.last_of(job.id));
        let workers = self.workers.values();
        let pending: Vec<RunId> = workers.flat_map(|worker| worker.runs_of(job.id)).collect();
        if pending.is_empty() {
            return;
        }
        effects.push(GatewayEffect::Decided(
            GatewayDecision::EarlierRunsPending {
                job: job.id,
                runs: pending.len(),
            },
        ));
        for run in pending {
            job.await_earlier_run(run);
        }
    }

    /// Handles the end of a run that has been removed from its worker. A task that waits for its
    /// earlier runs is done or may be placed once no worker has one.
    pub(super) fn on_earlier_run_end(
        &mut self,
        now: Timestamp,
        id: TaskId,
        how: EndKind,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        let is_awaited = task.is_some_and(|task| task.state == TaskState::EndingEarlierRun);
        let mut workers = self.workers.values();
        if !is_awaited || workers.any(|worker| worker.tasks.contains_key(&id)) {
            return;
        }
        if how == EndKind::Done {
            self.on_task_done(now, id, effects);
        } else {
            self.queue_task(id);
        }
    }
}
