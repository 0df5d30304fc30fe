//! What becomes of tasks at agents: done, failed, come back, or lost with
//! their agent.

use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::job::TaskState;
use super::{Answer, EndSource, GatewayDecision, GatewayEffect, LeasedGateway};
use crate::leased::crashes::Suspicion;
use crate::leased::messages::{EndKind, NotStartedReason, Snapshot, TaskEnd, ToAgentBody};
use crate::leased::task::{JobId, RunId, RunNumber, TaskId};

/// Placements that may come back at once before the job pauses.
const BOUNCES_BEFORE_PAUSE: u32 = 6;
/// That pause.
const BOUNCE_PAUSE: Span = Span::from_millis(5);
/// Failures beyond those that its queue allows after which a task is not excused by its
/// workers any more: a worker may be suspected for nothing but this task's failures. Without
/// the bound its caller waited for its whole deadline (20 s) and was not told that it failed.
const FAILURES_ON_SUSPECTS: u32 = 4;
/// Runs of a task that stood still after which its job is given up: without a bound it would
/// stand still on one worker after the other until its caller's deadline. Workers that hang are
/// on probation after their first task, so that a sound task seldom meets several of them.
const MOST_STALLS: u32 = 4;
/// Pause before a task is placed again whose earlier run is being stopped.
const DUPLICATE_PAUSE: Span = Span::from_millis(100);
/// How long an agent without a session is remembered, to tell the next one of its name.
const AGENT_MEMORY: Span = Span::from_secs(3);
/// How far run numbers jump past those of an earlier gateway.
const RUN_JUMP: u32 = 16;

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
        if end.number <= worker.seen {
            return;
        }
        worker.seen = end.number;
        if worker.tasks.get(&end.task) != Some(&end.run) {
            return;
        }
        worker.end(end.task);
        let name = worker.name.clone();
        let run = RunId {
            task: end.task,
            run: end.run,
        };
        self.on_end(now, &name, run, end.how, EndSource::Agent, effects);
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
        job.placed -= 1;
        let is_proved_idle = matches!(
            how,
            EndKind::NotStarted(reason) if reason != NotStartedReason::Refused
        );
        job.may_have_started |= !is_proved_idle;
        if how == EndKind::Done {
            self.on_task_done(now, id, effects);
            return;
        }
        effects.push(GatewayEffect::Decided(GatewayDecision::CameBack {
            run,
            agent: agent.to_owned(),
            how,
            source,
        }));
        self.place_again(now, id, how, effects);
    }

    fn on_task_done(&mut self, now: Timestamp, id: TaskId, effects: &mut Vec<GatewayEffect>) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.state = TaskState::Done;
        let taken = now.since(task.placed);
        let step = &mut job.steps[id.step as usize];
        step.done += 1;
        step.longest = step.longest.max(taken);
        let is_step_done = step.is_done();
        if is_step_done {
            self.run_times
                .note(&job.queue.name, step.guess, step.longest);
            effects.push(GatewayEffect::Decided(GatewayDecision::StepDone {
                queue: Arc::clone(&job.queue),
                expected: step.request.estimate,
                longest: step.longest,
            }));
        }
        if job.is_done() {
            self.finish(now, id.job, Answer::Completed, effects);
        } else if is_step_done {
            self.wait_for_room(id.job);
        }
    }

    /// Puts a task that did not end well back among those that wait.
    fn place_again(
        &mut self,
        now: Timestamp,
        id: TaskId,
        how: EndKind,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let most_failures = job.queue.max_attempts.max(1);
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.state = TaskState::Waiting;
        match how {
            EndKind::Done => {}
            EndKind::Failed => task.failures += 1,
            EndKind::Stalled => task.stalls += 1,
            EndKind::FailedOnSuspect => task.failures_on_suspects += 1,
            EndKind::TooSlow { .. } | EndKind::Lost | EndKind::Stopped => {}
            EndKind::NotStarted(NotStartedReason::OldRun) => task.run.0 += RUN_JUMP,
            EndKind::NotStarted(_) => {}
        }
        let has_stalled = task.stalls > 0;
        let most_in_all = most_failures.saturating_add(FAILURES_ON_SUSPECTS);
        let failures = task.failures.saturating_add(task.failures_on_suspects);
        if task.failures >= most_failures || failures >= most_in_all {
            self.finish(now, id.job, Answer::Failed, effects);
            return;
        }
        if task.stalls >= MOST_STALLS {
            self.finish(now, id.job, Answer::GivenUp, effects);
            return;
        }
        let step = &mut job.steps[id.step as usize];
        step.waiting.insert(id.index);
        if has_stalled || self.crashes.suspicion(id) != Suspicion::Clear {
            job.set_apart(id);
        }
        let step = &mut job.steps[id.step as usize];
        if let EndKind::TooSlow { projected_millis } = how {
            step.raise_estimate(Span::from_millis(u64::from(projected_millis)));
        }
        if let EndKind::NotStarted(reason) = how {
            let is_new_bounce = job.bounced != Some(now);
            job.bounced = Some(now);
            job.bounces += u32::from(is_new_bounce);
            if reason == NotStartedReason::Duplicate {
                self.pause(id.job, now.after(DUPLICATE_PAUSE));
            } else if is_new_bounce && job.bounces > BOUNCES_BEFORE_PAUSE {
                self.pause(id.job, now.after(BOUNCE_PAUSE));
            }
        }
        self.wait_for_room(id.job);
        self.refuse_or_give_up(now, id.job, effects);
    }

    pub(super) fn pause(&mut self, id: JobId, until: Timestamp) {
        if let Some(job) = self.jobs.get_mut(&id)
            && until > job.not_before
        {
            self.timers.remove(&(job.not_before, id));
            job.not_before = until;
            self.timers.insert((until, id));
        }
    }

    fn wait_for_room(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get(&id)
            && job.has_placeable()
        {
            self.waiting.insert((job.latest_start, id));
        }
    }

    /// An agent tells what its worker is and which of our tasks it holds. What
    /// it does not hold has ended, and so has all that an earlier process of
    /// the same name held. What it holds and nobody waits for is stopped: without
    /// that it ran on to its end, beside the job that its caller handed in again.
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
        let held: Vec<(TaskId, RunNumber)> = snapshot.held.clone();
        let is_first = worker.snapshot.is_none();
        worker.snapshot = Some(snapshot);
        worker.has_crashed = false;
        worker.note_evacuations(&self.evacuations);
        self.without_worker_since = None;
        if is_first {
            let lost = worker.missing(&held);
            let left_over = worker.left_over(&held);
            if !left_over.is_empty() {
                self.send(now, agent, ToAgentBody::Stop(left_over), effects);
            }
            self.lose(now, agent, &lost, EndSource::Snapshot, effects);
        }
        let predecessors: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(other, worker)| **other != agent && worker.name == name)
            .map(|(other, _)| *other)
            .collect();
        for old in predecessors {
            self.lose_all(now, old, EndSource::Successor, effects);
            self.workers.remove(&old);
            self.start_window.forget(old);
            self.way_in.forget(old);
        }
    }

    /// Ends the tasks of agents that were silent for so long that their
    /// workers have let everything lapse.
    pub(super) fn end_lapsed_agents(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        let lapsed: Vec<Incarnation> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty() && now >= worker.lapses_at())
            .map(|(agent, _)| *agent)
            .collect();
        for agent in lapsed {
            if let Some(worker) = self.workers.get(&agent) {
                effects.push(GatewayEffect::Decided(GatewayDecision::AgentLapsed {
                    agent: worker.name.clone(),
                    tasks: worker.tasks.len(),
                    silence: now.since(worker.heard),
                }));
            }
            self.lose_all(now, agent, EndSource::Silence, effects);
        }
        self.workers.retain(|_, worker| {
            let is_recent = now.since(worker.heard) <= AGENT_MEMORY;
            worker.session.is_some() || !worker.tasks.is_empty() || is_recent
        });
    }

    fn lose_all(
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
        self.lose(now, agent, &tasks, source, effects);
    }

    fn lose(
        &mut self,
        now: Timestamp,
        agent: Incarnation,
        tasks: &[TaskId],
        source: EndSource,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for task in tasks {
            let Some(worker) = self.workers.get_mut(&agent) else {
                return;
            };
            let name = worker.name.clone();
            let Some(run) = worker.end(*task) else {
                continue;
            };
            let run = RunId { task: *task, run };
            self.on_end(now, &name, run, EndKind::Lost, source, effects);
        }
    }
}
