//! Ends of tasks at agents: completion, failure, return without a start, or loss with the
//! agent.

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::job::TaskState;
use super::{Answer, EndSource, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::crashes::Suspicion;
use crate::leased::messages::{EndKind, NotStartedReason, Snapshot, TaskEnd, ToAgentBody};
use crate::leased::task::{JobId, RunId, RunNumber, TaskId};

/// Number of returned starts after which the job's placement is delayed by [`RETURN_BACKOFF`].
const RETURNS_BEFORE_BACKOFF: u32 = 6;
/// Delay before a job is placed again after repeated returns.
const RETURN_BACKOFF: Span = Span::from_millis(5);
/// Failed runs on suspected workers that a task may have beyond its queue's attempts. Without
/// a bound, a task whose failures alone make workers suspected would be retried until the
/// caller's deadline.
const MAX_FAILURES_ON_SUSPECTS: u32 = 4;
/// Number of stalled runs after which a task's job is given up. Without a bound the task could
/// stall on one worker after another until the caller's deadline. Workers that stall are on
/// probation after their first task, so a healthy task seldom meets several of them.
const MAX_STALLS: u32 = 4;
/// Delay before a task is placed again whose start was rejected as a duplicate. Agents of earlier
/// versions reject it while the other run is still being stopped.
const DUPLICATE_BACKOFF: Span = Span::from_millis(100);
/// How long the state of a disconnected agent is kept, so that the next agent process of the
/// same name can be sent the time since the agent was last heard.
const DISCONNECTED_AGENT_RETENTION: Span = Span::from_secs(3);
/// Increment that moves run numbers past those assigned by an earlier gateway.
const RUN_NUMBER_INCREMENT: u32 = 16;

impl LeasedGateway {
    pub(super) fn on_task_end(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        end: &TaskEnd,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        if end.number <= worker.last_received_end {
            return;
        }
        worker.last_received_end = end.number;
        if worker.tasks.get(&end.task) != Some(&end.run) {
            return;
        }
        worker.remove_task(end.task);
        let name = worker.name.clone();
        let run = RunId {
            task: end.task,
            run: end.run,
        };
        self.update_checkpoint(run, end.how, end.checkpoint.as_ref());
        self.on_end(now, &name, run, end.how, EndSource::Agent, effects);
        self.on_earlier_run_end(now, end.task, end.how, effects);
    }

    fn on_end(
        &mut self,
        now: Timestamp,
        agent: &str,
        run: RunId,
        how: EndKind,
        source: EndSource,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let id = run.task;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let is_current = job
            .task_mut(id)
            .is_some_and(|task| task.run == run.run && task.state == TaskState::Placed);
        if !is_current {
            return;
        }
        job.placed_count -= 1;
        let is_proved_not_run = matches!(
            how,
            EndKind::NotStarted(reason) if reason != NotStartedReason::Refused
        );
        job.may_have_started |= !is_proved_not_run;
        if how == EndKind::Done {
            self.on_task_done(now, id, effects);
            return;
        }
        if how == EndKind::Preempted {
            self.report_preemption(now, agent, run, effects);
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::TaskReturned {
            run,
            agent: agent.to_owned(),
            how,
            source,
        }));
        self.record_returned_job(now, id.job);
        self.requeue_task(now, id, how, effects);
    }

    pub(super) fn on_task_done(
        &mut self,
        now: Timestamp,
        id: TaskId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let is_placed_here = task.state == TaskState::Placed;
        task.state = TaskState::Done;
        // The run times of the queue are those near the data. Remote runs are divided by the factor
        // instead of left out: if the factor is wrong, the estimate of the queue is corrected.
        let duration = task.near_run_time(now.since(task.placed_at));
        let step = &mut job.steps[id.step as usize];
        step.done += 1;
        if is_placed_here {
            step.longest = step.longest.max(duration);
        }
        let is_step_done = step.is_done();
        if is_step_done && step.longest > Span::default() {
            self.run_times
                .record(&job.queue.name, step.caller_estimate, step.longest);
            effects.push(GatewayEffect::Decided(GatewayDecision::StepDone {
                queue: Arc::clone(&job.queue),
                expected: step.request.estimate,
                longest: step.longest,
            }));
        }
        if job.is_done() {
            self.finish(now, id.job, Answer::Completed, effects);
        } else if is_step_done {
            self.enqueue_if_placeable(id.job);
        }
    }

    /// Counts an unsuccessful run and queues the task again, or ends its job if a limit is
    /// reached.
    fn requeue_task(
        &mut self,
        now: Timestamp,
        id: TaskId,
        how: EndKind,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let max_failures = job.queue.max_attempts.max(1);
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.state = TaskState::Waiting;
        match how {
            EndKind::Done => {}
            EndKind::Failed => task.failures += 1,
            EndKind::Stalled => task.stalls += 1,
            EndKind::FailedOnSuspect => task.failures_on_suspects += 1,
            EndKind::Preempted => task.was_preempted = true,
            EndKind::Lost => task.may_have_been_preempted |= task.is_preemptible,
            EndKind::TooSlow { .. } | EndKind::Stopped => {}
            EndKind::NotStarted(NotStartedReason::OldRun) => {
                task.run.0 = task.run.0.saturating_add(RUN_NUMBER_INCREMENT);
            }
            EndKind::NotStarted(_) => {}
        }
        if how == EndKind::NotStarted(NotStartedReason::Claimed) {
            self.end_claimed_elsewhere(now, id.job, effects);
            return;
        }
        let has_stalled = task.stalls > 0;
        let was_preempted = task.was_preempted;
        let task = *task;
        let max_total_failures = max_failures.saturating_add(MAX_FAILURES_ON_SUSPECTS);
        let failures = task.failures.saturating_add(task.failures_on_suspects);
        if task.failures >= max_failures || failures >= max_total_failures {
            self.finish(now, id.job, Answer::Failed, effects);
            return;
        }
        if task.stalls >= MAX_STALLS {
            self.finish(now, id.job, Answer::GivenUp, effects);
            return;
        }
        job.has_preempted_task |= was_preempted;
        let step = &mut job.steps[id.step as usize];
        step.waiting.insert(id.index);
        if has_stalled || self.crashes.suspicion(id) != Suspicion::Clear {
            job.separate(id);
        }
        let step = &mut job.steps[id.step as usize];
        if let EndKind::TooSlow { projected_millis } = how {
            let projected = Span::from_millis(u64::from(projected_millis));
            step.raise_estimate(task.near_run_time(projected));
        }
        if let EndKind::NotStarted(reason) = how {
            let is_new_return = job.last_returned != Some(now);
            job.last_returned = Some(now);
            job.returned_starts += u32::from(is_new_return);
            if reason == NotStartedReason::Duplicate {
                self.delay_placement(id.job, now.after(DUPLICATE_BACKOFF));
            } else if is_new_return && job.returned_starts > RETURNS_BEFORE_BACKOFF {
                self.delay_placement(id.job, now.after(RETURN_BACKOFF));
            }
        }
        self.enqueue_if_placeable(id.job);
        self.refuse_or_give_up(now, id.job, effects);
    }

    /// Queues a task that waited for its earlier runs to end.
    pub(super) fn queue_task(&mut self, id: TaskId) {
        let is_clear = self.crashes.suspicion(id) == Suspicion::Clear;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if let Some(task) = job.task_mut(id) {
            task.state = TaskState::Waiting;
        }
        job.steps[id.step as usize].waiting.insert(id.index);
        if !is_clear {
            job.separate(id);
        }
        self.enqueue_if_placeable(id.job);
    }

    pub(super) fn delay_placement(&mut self, id: JobId, until: Timestamp) {
        if let Some(job) = self.jobs.get_mut(&id)
            && until > job.not_before
        {
            self.timers.remove(&(job.not_before, id));
            job.not_before = until;
            self.timers.insert((until, id));
        }
    }

    fn enqueue_if_placeable(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id)
            && job.has_placeable()
        {
            self.waiting.insert((job.latest_start, id));
        }
    }

    /// Handles an agent's snapshot of its worker and the tasks that it holds for this gateway.
    /// Tasks not in the first snapshot of a session have ended, as have all tasks of earlier
    /// processes of the same name. Tasks that are held but not known here are stopped; otherwise
    /// they could run beside a resubmission of their job.
    pub(super) fn on_snapshot(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        snapshot: Snapshot,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        let name = worker.name.clone();
        if snapshot
            .session
            .is_some_and(|number| !worker.accept_session_number(number))
        {
            self.close_superseded_session(now, agent, effects);
            return;
        }
        let held: Vec<(TaskId, RunNumber)> = snapshot.held.clone();
        let earlier = worker.snapshot.as_ref();
        let is_first = earlier.is_none();
        // The agent forgets what waits for the worker as it was described before.
        let has_changed = earlier.is_some_and(|earlier| !earlier.describes_same_worker(&snapshot));
        worker.control = snapshot.control.clone();
        worker.claims.record_support(snapshot.honors_claims);
        worker.snapshot = Some(snapshot);
        worker.has_crashed = false;
        worker.update_evacuation(&self.evacuations);
        self.without_worker_since = None;
        if is_first {
            let lost = worker.not_held(&held);
            let orphaned = worker.orphaned(&held);
            self.introduce_claims(now, agent, effects);
            if !orphaned.is_empty() {
                self.send(now, agent, ToAgentBody::Stop(orphaned), effects);
            }
            self.mark_lost(now, agent, &lost, EndSource::Snapshot, effects);
        }
        if has_changed {
            self.renew_announcements_to(agent);
        }
        self.end_predecessors(now, agent, &name, effects);
    }

    /// Closes a session that the agent has left for one on which a snapshot was received. The runs
    /// that its snapshot lacks may have been started since.
    fn close_superseded_session(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get(&agent) else {
            return;
        };
        let decision = GatewayDecision::LateHandshake {
            agent: worker.name.clone(),
        };
        effects.push(GatewayEffect::Decided(decision));
        if let Some(session) = worker.session {
            effects.push(GatewayEffect::Close(session));
            self.on_agent_closed(now, session, effects);
        }
    }

    /// Marks as lost the tasks of earlier processes of an agent that has its worker under control.
    /// The tasks of a process with an open session wait until that closes or the process has been
    /// silent for long: agents of older versions name no control, and their start times are estimates.
    fn end_predecessors(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        name: &str,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some((started_at, control)) = self
            .workers
            .get(&agent)
            .map(|worker| (worker.process_started_at, worker.control.clone()))
        else {
            return;
        };
        let others = self.workers.iter_mut().filter(|(other, worker)| {
            let is_earlier = worker.is_succeeded_by(started_at, control.as_ref());
            **other != agent && worker.name == name && is_earlier
        });
        let mut ended = Vec::new();
        for (other, worker) in others {
            worker.may_be_succeeded = true;
            if worker.session.is_none() {
                ended.push(*other);
            }
        }
        for old in ended {
            self.end_predecessor(now, old, effects);
        }
    }

    /// Ends an agent process whose session has closed since its successor took control.
    pub(super) fn end_if_succeeded(
        &mut self,
        now: Timestamp,
        closed: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let worker = self.workers.get(&closed);
        if worker.is_some_and(|worker| worker.may_be_succeeded) {
            self.end_predecessor(now, closed, effects);
        }
    }

    fn end_predecessor(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        self.mark_all_lost(now, agent, EndSource::Successor, effects);
        self.workers.remove(&agent);
        self.start_window.remove_agent(agent);
        self.ingress_delay.remove_agent(agent);
    }

    /// Marks as lost the tasks of agents that have been silent for so long that the leases have
    /// expired. Removes disconnected agents without tasks that were last heard more than
    /// [`DISCONNECTED_AGENT_RETENTION`] ago.
    pub(super) fn expire_silent_agents(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let expired: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty() && now >= worker.expires_at())
            .map(|(agent, _)| *agent)
            .collect();
        for agent in expired {
            if let Some(worker) = self.workers.get(&agent) {
                effects.push(GatewayEffect::Decided(GatewayDecision::AgentExpired {
                    agent: worker.name.clone(),
                    tasks: worker.tasks.len(),
                    silence: now.since(worker.last_heard),
                }));
            }
            self.mark_all_lost(now, agent, EndSource::Silence, effects);
        }
        self.workers.retain(|_, worker| {
            let is_recent = now.since(worker.last_heard) <= DISCONNECTED_AGENT_RETENTION;
            worker.session.is_some() || !worker.tasks.is_empty() || is_recent
        });
    }

    fn mark_all_lost(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        source: EndSource,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get(&agent) else {
            return;
        };
        let tasks: Vec<TaskId> = worker.tasks.keys().copied().collect();
        self.mark_lost(now, agent, &tasks, source, effects);
    }

    fn mark_lost(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        tasks: &[TaskId],
        source: EndSource,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(worker) = self.workers.get_mut(&agent) else {
            return;
        };
        let name = worker.name.clone();
        let removed = tasks.iter().filter_map(|task| {
            let run = worker.remove_task(*task)?;
            Some(RunId { task: *task, run })
        });
        let runs: Vec<RunId> = removed.collect();
        if runs.is_empty() {
            return;
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::RunsLost {
            agent: name.clone(),
            runs: runs.clone(),
            source,
        }));
        for run in runs {
            self.update_checkpoint(run, EndKind::Lost, None);
            self.on_end(now, &name, run, EndKind::Lost, source, effects);
            self.on_earlier_run_end(now, run.task, EndKind::Lost, effects);
        }
    }
}
