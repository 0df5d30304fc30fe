//! Dispatch of tasks to agents and handling of their outcomes.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::{ClassName, DispatchId, PoolName, ServiceName, SubmissionId};
use laurelstile_types::outcome::Reason;
use laurelstile_types::time::{Span, Timestamp};

use super::super::job::{MeanRunTime, RunningTask};
use super::super::links::{Link, LinkIndex, Links};
use super::Scheduler;
use crate::messages::agent::{DispatchStatus, NotStartedReason, StartTask, TaskOutcome};
use crate::messages::peer::{DelegatedTask, TaskOutput};

impl Scheduler {
    /// Assigns waiting tasks to free slots: preferred agents first, then the
    /// first job in the queue's order that the agent accepts.
    pub fn dispatch(
        &mut self,
        now: Timestamp,
        links: &mut Links,
    ) -> BTreeMap<LinkIndex, Vec<StartTask>> {
        let mut starts: BTreeMap<LinkIndex, Vec<StartTask>> = BTreeMap::new();
        for (pool, _) in self.waiting() {
            let mut skipped = BTreeSet::new();
            while let Some(link) = links.preferred(&pool, &skipped) {
                let Some(submission) = self.next_submission_for(now, &pool, links.get(link)) else {
                    skipped.insert(link);
                    continue;
                };
                match self.start_next(now, submission, link, links) {
                    Some(task) => starts.entry(link).or_default().push(task),
                    None => self.fail(submission, Reason::DeadlineExceeded, links),
                }
            }
        }
        starts
    }

    /// The job whose next task can be dispatched to an agent.
    pub(super) fn next_submission_for(
        &self,
        now: Timestamp,
        pool: &PoolName,
        link: &Link,
    ) -> Option<SubmissionId> {
        let queue = self.queues.get(pool)?;
        queue.next(|submission| {
            self.jobs
                .get(&submission)
                .is_some_and(|job| link.accepts_age(job.age(now)))
        })
    }

    /// Dispatches the job's next task to `link`; `None` past the deadline,
    /// after which no task may start.
    pub(super) fn start_next(
        &mut self,
        now: Timestamp,
        submission: SubmissionId,
        link: LinkIndex,
        links: &mut Links,
    ) -> Option<StartTask> {
        let job = self.jobs.get_mut(&submission)?;
        if now >= job.deadline {
            return None;
        }
        let task = job.waiting.pop_front()?;
        let dispatch = DispatchId {
            submission,
            task: task.index,
            delegation: job.key.delegation,
        };
        let running = RunningTask {
            link,
            input: task.input.clone(),
        };
        job.running.insert(task.index, running);
        job.contacted.insert(link);
        let start = StartTask {
            dispatch,
            service: job.service.clone(),
            class: job.class.clone(),
            age: job.age(now),
            time_left: job.deadline.since(now),
            input: task.input,
        };
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            queue.remove_tasks(&job.tenant, 1, job.mean_run_time);
            queue.occupy_slot(&job.tenant);
        }
        self.update_rank(submission);
        let agent = links.get_mut(link);
        agent.unresolved.insert(dispatch);
        agent.starts_sent += 1;
        links.refresh(now, link);
        Some(start)
    }

    /// Handles the outcome of a task.
    pub fn on_task_ended(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        run_time: Span,
        outcome: TaskOutcome,
        links: &mut Links,
    ) {
        let Some(link) = self.resolve(dispatch, links) else {
            self.late_results += 1;
            return;
        };
        let submission = dispatch.submission;
        match outcome {
            TaskOutcome::Output(output) => {
                self.record_run_time(submission, link, run_time, links);
                let Some(job) = self.jobs.get_mut(&submission) else {
                    return;
                };
                job.outputs.push(TaskOutput {
                    index: dispatch.task,
                    output,
                });
                if job.outputs.len() == job.task_count {
                    self.complete(submission);
                }
            }
            TaskOutcome::Failed => self.fail_after_run(submission, Reason::TaskFailed, links),
            TaskOutcome::Unknown | TaskOutcome::Cancelled | TaskOutcome::OutputLost => {
                self.fail_after_run(submission, Reason::WorkerLost, links);
            }
        }
        links.refresh(now, link);
    }

    /// Handles a dispatch that definitely was not started.
    pub fn on_not_started(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        reason: NotStartedReason,
        links: &mut Links,
    ) {
        match reason {
            NotStartedReason::Fenced => {
                let current = self.jobs.get(&dispatch.submission).map(|job| job.key);
                if current.is_some_and(|key| key.delegation == dispatch.delegation) {
                    self.discard(dispatch.submission, links);
                }
            }
            NotStartedReason::Duplicate => {
                self.resolve(dispatch, links);
                self.fail_after_run(dispatch.submission, Reason::WorkerLost, links);
            }
            NotStartedReason::Full
            | NotStartedReason::Draining
            | NotStartedReason::StaleRevision
            | NotStartedReason::StaleSender
            | NotStartedReason::OlderThanAgent
            | NotStartedReason::BackendUnreachable => self.requeue(now, dispatch, links),
        }
    }

    /// Handles the reported status of a dispatch from an earlier session.
    pub fn on_reconciled(
        &mut self,
        now: Timestamp,
        dispatch: DispatchId,
        status: DispatchStatus,
        links: &mut Links,
    ) {
        match status {
            DispatchStatus::Running => {}
            DispatchStatus::NeverReceived => self.requeue(now, dispatch, links),
            DispatchStatus::Finished {
                run_micros,
                outcome,
            } => self.on_task_ended(now, dispatch, Span(run_micros), outcome, links),
        }
    }

    /// Handles the loss of an agent's incarnation: its unresolved dispatches
    /// have an unknown outcome.
    pub fn on_agent_lost(&mut self, link: LinkIndex, links: &mut Links) {
        let unresolved = std::mem::take(&mut links.get_mut(link).unresolved);
        let submissions: BTreeSet<SubmissionId> = unresolved
            .iter()
            .map(|dispatch| dispatch.submission)
            .collect();
        for submission in submissions {
            self.fail_after_run(submission, Reason::WorkerLost, links);
        }
    }

    /// Marks a dispatch as resolved; returns its link if it was running here.
    pub(super) fn resolve(&mut self, dispatch: DispatchId, links: &mut Links) -> Option<LinkIndex> {
        let job = self.jobs.get_mut(&dispatch.submission)?;
        if !job.is_running(dispatch) {
            return None;
        }
        let running = job.running.remove(&dispatch.task)?;
        links.get_mut(running.link).unresolved.remove(&dispatch);
        if let Some(queue) = self.queues.get_mut(&job.pool) {
            queue.vacate_slot(&job.tenant);
        }
        Some(running.link)
    }

    pub(super) fn requeue(&mut self, now: Timestamp, dispatch: DispatchId, links: &mut Links) {
        let submission = dispatch.submission;
        let input = self
            .jobs
            .get(&submission)
            .filter(|job| job.is_running(dispatch))
            .and_then(|job| job.running.get(&dispatch.task))
            .map(|running| running.input.clone());
        let (Some(input), Some(link)) = (input, self.resolve(dispatch, links)) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&submission) {
            job.waiting.push_front(DelegatedTask {
                index: dispatch.task,
                input,
            });
            let (pool, tenant, mean) = (job.pool.clone(), job.tenant.clone(), job.mean_run_time);
            self.enqueue_tasks(&pool, &tenant, 1, mean);
        }
        self.update_rank(submission);
        links.refresh(now, link);
    }

    pub(super) fn mean_run_time(
        &self,
        configuration: &Configuration,
        service: &ServiceName,
        class: &ClassName,
    ) -> Span {
        if let Some(mean) = self.mean_run_times.get(&(service.clone(), class.clone())) {
            return mean.span();
        }
        configuration
            .service(service)
            .and_then(|service| service.class(class))
            .map_or(Span::from_millis(1), |class| {
                Span::from_millis(class.expected_millis)
            })
    }

    pub(super) fn record_run_time(
        &mut self,
        submission: SubmissionId,
        link: LinkIndex,
        run_time: Span,
        links: &mut Links,
    ) {
        let Some(job) = self.jobs.get(&submission) else {
            return;
        };
        let key = (job.service.clone(), job.class.clone());
        let mean = self
            .mean_run_times
            .entry(key)
            .or_insert_with(|| MeanRunTime::from(job.mean_run_time));
        mean.record_run_time(run_time);
        links.get_mut(link).update_slowness(run_time, mean.span());
    }
}
