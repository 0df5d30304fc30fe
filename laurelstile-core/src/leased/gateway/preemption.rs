//! Which steps may preempt, and which runs may be preempted. Agents decide whether they are.
//!
//! Answers a burst of one queue that occupies the workers while jobs of another queue, which is
//! within its fair share, have less time than the runs of the burst.

use std::sync::Arc;

use laurelstile_types::time::Timestamp;

use super::job::Job;
use super::queues::QueueSettings;
use super::shares::Standing;
use super::{GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::queue_key::QueueKey;
use crate::leased::task::RunId;

/// What a step may have stopped, as its announcement says.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreemptionRight {
    /// Processing time that preemption may discard, in percent of a worker's capacity.
    pub budget_percent: u32,
    /// Queue whose runs may be stopped.
    pub queue: QueueKey,
}

impl LeasedGateway {
    /// What the steps of a job may have stopped; `None` if nothing. Only unstarted jobs that can still
    /// be in time may preempt, for which a refusal is near.
    pub(super) fn preemption_right(&self, now: Timestamp, job: &Job) -> Option<PreemptionRight> {
        let policy = self.policies.preemption.as_ref()?;
        let may_preempt = job.is_unstarted()
            && !job.is_late(now)
            && self.standing(now, &job.queue) == Standing::Guaranteed;
        if !may_preempt {
            return None;
        }
        let queue = self.last_contending_queue(now, &job.queue)?;
        Some(PreemptionRight {
            budget_percent: policy.budget_percent,
            queue: QueueKey::of(&queue.name),
        })
    }

    /// Whether runs of a queue may be preempted. Those of the earliest priority of a service never
    /// are, so that a queue does not lose runs to one of a later priority.
    pub(super) fn is_preemptible(&self, now: Timestamp, queue: &QueueSettings) -> bool {
        self.policies.preemption.is_some()
            && self
                .queues_of(&queue.service)
                .any(|other| other.priority < queue.priority)
            && self.standing(now, queue) == Standing::Contending
    }

    /// Reports that a run of a job was preempted.
    pub(super) fn report_preemption(
        &mut self,
        now: Timestamp,
        agent: &str,
        run: RunId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        let queue = Arc::clone(&job.queue);
        let Some(task) = job.task_mut(run.task) else {
            return;
        };
        effects.push(GatewayEffect::Decided(GatewayDecision::TaskPreempted {
            run,
            queue,
            agent: agent.to_owned(),
            age: now.since(task.placed_at),
        }));
    }

    /// The contending queue of the last priority, if that is later than the priority of `queue`. Whether
    /// a batch may be preempted was decided when it was placed; its queue may be within its fair share
    /// since.
    fn last_contending_queue<'a>(
        &'a self,
        now: Timestamp,
        queue: &'a QueueSettings,
    ) -> Option<&'a QueueSettings> {
        self.queues_of(&queue.service)
            .filter(|other| other.priority > queue.priority)
            .filter(|other| self.standing(now, other) == Standing::Contending)
            .max_by_key(|other| other.priority)
    }

    fn queues_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a QueueSettings> {
        let queues = self.configuration.iter();
        let queues = queues.flat_map(|configuration| &configuration.queues);
        queues
            .map(AsRef::as_ref)
            .filter(move |queue| queue.service == service)
    }
}
