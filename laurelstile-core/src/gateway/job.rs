//! State of a delegated job at its scheduler, and mean run times by class.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use laurelstile_types::id::{
    ClassName, DispatchId, Incarnation, PoolName, ServiceName, TaskIndex, TenantName,
};
use laurelstile_types::time::{Span, Timestamp};

use super::links::LinkIndex;
use super::queue::{Rank, RankInput};
use crate::messages::peer::{DelegatedTask, DelegationKey, TaskOutput};
use crate::payload::Payload;

/// Smoothing factor of the moving average of a class's run time.
const MEAN_SMOOTHING: f64 = 0.05;

/// A task that was sent to an agent and whose outcome is unknown.
#[derive(Debug)]
pub(super) struct RunningTask {
    pub(super) link: LinkIndex,
    pub(super) input: Payload,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) key: DelegationKey,
    pub(super) entry: Incarnation,
    pub(super) pool: PoolName,
    pub(super) service: ServiceName,
    pub(super) class: ClassName,
    pub(super) tenant: TenantName,
    pub(super) weight: u32,
    pub(super) arrival: Timestamp,
    /// Lower bound of the time of the delegation; `None` for a local job,
    /// which no other gateway can recover.
    pub(super) delegated_at: Option<Timestamp>,
    pub(super) deadline: Timestamp,
    pub(super) mean_run_time: Span,
    pub(super) waiting: VecDeque<DelegatedTask>,
    pub(super) running: BTreeMap<TaskIndex, RunningTask>,
    pub(super) outputs: Vec<TaskOutput>,
    pub(super) task_count: usize,
    /// Agents to which tasks of the job were sent.
    pub(super) contacted: BTreeSet<LinkIndex>,
    /// Rank in the queue; `None` if no task is waiting.
    pub(super) rank: Option<Rank>,
}

/// Moving average of the run time of a class, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanRunTime(f64);

impl Job {
    pub(super) fn is_running(&self, dispatch: DispatchId) -> bool {
        self.key.delegation == dispatch.delegation && self.running.contains_key(&dispatch.task)
    }

    /// Upper bound of the time since the delegation; zero for a local job.
    pub(super) fn age(&self, now: Timestamp) -> Span {
        self.delegated_at
            .map_or(Span::default(), |delegated_at| now.since(delegated_at))
    }

    /// Expected run time of all waiting tasks together.
    pub(super) fn remaining_work(&self) -> Span {
        Span(self.mean_run_time.0 * self.waiting.len() as u64)
    }

    pub(super) fn rank_input(&self) -> RankInput {
        RankInput {
            remaining_work: self.remaining_work(),
            weight: self.weight,
            arrival: self.arrival,
        }
    }
}

impl From<Span> for MeanRunTime {
    fn from(span: Span) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "an estimate")]
        let micros = span.0 as f64;
        Self(micros)
    }
}

impl MeanRunTime {
    pub(super) fn record_run_time(&mut self, run_time: Span) {
        self.0 += MEAN_SMOOTHING * (Self::from(run_time).0 - self.0);
    }

    pub(super) fn span(self) -> Span {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of spans is a span"
        )]
        let micros = self.0 as u64;
        Span(micros.max(1))
    }
}
