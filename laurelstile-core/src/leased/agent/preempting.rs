//! Carries out preemption: stops runs for announced steps, and offers the freed resources to the
//! gateways of these steps once the runs have ended.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{Announcement, NO_TASK_LIMIT};
use super::super::resources::Resources;
use super::super::task::RunId;
use super::offers::OFFER_TIMEOUT;
use super::owner::{AnnouncedStep, StepKey};
use super::preemption::{
    Choice, CoreTime, PreemptibleRun, PreemptionBudget, Shortage, choose_runs,
};
use super::run_table::{Run, RunState, StopReason};
use super::{AgentDecision, AgentEffect, LeasedAgent};

/// Runs that are being stopped for announced steps, and the budget for them.
#[derive(Debug, Default)]
pub struct Preemptions {
    budget: PreemptionBudget,
    pending: Vec<PendingPreemption>,
}

/// Runs that are being stopped for one task of a step.
#[derive(Clone, Debug)]
struct PendingPreemption {
    gateway: Incarnation,
    step: StepKey,
    /// Resources that the task needs.
    needed: Resources,
    runs: Vec<RunId>,
}

impl LeasedAgent {
    /// Puts the budget of an announcement that may preempt into force. All gateways of a deployment
    /// have the same one; while it is being changed, the latest announcement decides.
    pub(super) fn update_preemption_budget(&mut self, now: Timestamp, announced: &Announcement) {
        if announced.may_preempt {
            let capacity = self.capacity();
            let budget = &mut self.preemptions.budget;
            budget.set_percent(now, capacity, announced.preemption_budget_percent);
        }
    }

    /// Resources that are free but needed, together with those of runs that are being stopped, by
    /// the task for which these are stopped.
    pub(super) fn resources_awaiting_preemption(&self) -> Resources {
        let pending = self.preemptions.pending.iter();
        let awaiting = pending.map(|pending| {
            let stopping = pending.runs.iter().filter_map(|id| self.runs.run(*id));
            let stopping = stopping
                .map(|run| run.resources)
                .fold(Resources::default(), Resources::saturating_add);
            pending.needed.saturating_sub(stopping)
        });
        awaiting.fold(Resources::default(), Resources::saturating_add)
    }

    /// Charges the budget for the time in which a preempted run continued until its end.
    pub(super) fn charge_time_to_stop(&mut self, now: Timestamp, run: &Run) {
        let RunState::Stopping { reason, since, .. } = run.state else {
            return;
        };
        if reason == StopReason::Preempted {
            let loss = CoreTime::of(run.resources, now.since(since));
            self.preemptions.budget.spend(loss);
        }
    }

    /// Offers the resources of preempted runs that have ended to the gateways they were stopped for,
    /// unless starts are limited. Forgets preemptions for steps that are not announced any more: their
    /// resources go to others.
    pub(super) fn end_preemptions(&mut self, now: Timestamp, is_limited: bool) {
        for pending in std::mem::take(&mut self.preemptions.pending) {
            let owner = self.owners.get(&pending.gateway);
            let is_announced =
                owner.is_some_and(|owner| owner.announced_step(now, pending.step).is_some());
            if !is_announced {
                continue;
            }
            let is_stopping = pending.runs.iter().any(|run| self.runs.run(*run).is_some());
            if is_stopping {
                self.preemptions.pending.push(pending);
                continue;
            }
            let is_free = !is_limited && pending.needed.fits_in(self.free_resources());
            if let Some(owner) = self.owners.get_mut(&pending.gateway)
                && is_free
                && owner.may_be_offered()
            {
                let until = now.after(OFFER_TIMEOUT);
                owner.offer(pending.step, pending.needed, 1, until);
            }
        }
    }

    /// Stops runs for steps that may preempt and have waited long enough, best rank first.
    pub(super) fn preempt(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let has_due = self.owners.values().any(|owner| {
            let mut steps = owner.announced(now);
            owner.may_be_offered() && steps.any(|(_, step)| step.is_preemption_due(now))
        });
        if !has_due || !self.is_available(now) || self.limit_left(now) != NO_TASK_LIMIT {
            return;
        }
        let mut committed = self.committed_resources();
        let capacity = self.capacity();
        for (gateway, key, step) in self.steps_by_rank(now) {
            let shortage = Shortage {
                capacity,
                committed,
                needed: step.resources,
            };
            if shortage.is_covered_by(Resources::default()) {
                // Resources that are about to become free go to the steps of better rank first.
                let free = capacity.saturating_sub(committed);
                let tasks = step.resources.count_fitting_in(free).min(step.count);
                committed = committed.saturating_add(step.resources.multiplied_by(tasks));
                continue;
            }
            if !step.is_preemption_due(now) || self.awaits_preemption(gateway, key) {
                continue;
            }
            let runs = self.preemptible_runs(now, &step);
            let budget = self.preemptions.budget.available(now, capacity);
            let Some(choice) = choose_runs(&shortage, &runs, budget) else {
                continue;
            };
            let freed = self.preempt_for(now, gateway, key, &step, &choice, effects);
            committed = committed
                .saturating_sub(freed)
                .saturating_add(step.resources);
        }
    }

    /// When a step next may have runs stopped.
    pub(super) fn next_preemption_at(&self, now: Timestamp) -> Option<Timestamp> {
        let owners = self.owners.values();
        let steps = owners.flat_map(|owner| owner.announced(now));
        let due = steps.filter_map(|(_, step)| step.preempts_at);
        due.filter(|due| *due > now).min()
    }

    /// Stops the chosen runs and returns the resources that they use until they end.
    fn preempt_for(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        step: StepKey,
        announced: &AnnouncedStep,
        choice: &Choice,
        effects: &mut Vec<AgentEffect>,
    ) -> Resources {
        let mut runs = Vec::with_capacity(choice.tasks.len());
        let mut freed = Resources::default();
        for task in &choice.tasks {
            let Some(run) = self.runs.get(*task) else {
                continue;
            };
            runs.push(run.id(*task));
            freed = freed.saturating_add(run.resources);
        }
        effects.push(AgentEffect::Decided(AgentDecision::Preempting {
            job: step.0,
            waited: now.since(announced.since),
            runs: runs.clone(),
            loss: choice.loss,
        }));
        for run in &runs {
            self.stop_run(now, run.task, StopReason::Preempted, effects);
        }
        self.preemptions.budget.spend(choice.loss);
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.record_preemption(step);
        }
        self.preemptions.pending.push(PendingPreemption {
            gateway,
            step,
            needed: announced.resources,
            runs,
        });
        freed
    }

    /// Resources that are taken or reserved, except by runs that are being stopped. Tasks for which
    /// runs are being stopped count.
    fn committed_resources(&self) -> Resources {
        let remaining = self.runs.iter().filter(|(_, run)| !run.is_stopping());
        let remaining = remaining.map(|(_, run)| run.resources);
        let pending = self.preemptions.pending.iter();
        let pending = pending.map(|pending| pending.needed);
        remaining
            .chain(pending)
            .fold(self.offered_resources(), Resources::saturating_add)
    }

    /// Announced steps to whose gateways resources may be offered, best rank first.
    fn steps_by_rank(&self, now: Timestamp) -> Vec<(Incarnation, StepKey, AnnouncedStep)> {
        let mut steps: Vec<(Incarnation, StepKey, AnnouncedStep)> =
            self.offerable_steps(now).collect();
        steps.sort_by_key(|(_, _, step)| (step.rank, step.until));
        steps
    }

    fn awaits_preemption(&self, gateway: Incarnation, step: StepKey) -> bool {
        let mut pending = self.preemptions.pending.iter();
        pending.any(|pending| pending.gateway == gateway && pending.step == step)
    }

    /// Runs that may be stopped for a step: those of the queue that its gateway named, or of any other
    /// queue than the step's if it named none.
    fn preemptible_runs(&self, now: Timestamp, step: &AnnouncedStep) -> Vec<PreemptibleRun> {
        let clock = self.worker_clock(now);
        let run_time_percent = u64::from(self.health.run_time_percent(now));
        let is_allowed = |run: &Run| {
            let is_other_queue = step.queue.is_none() || run.queue != step.queue;
            let is_named = step.preempted_queue.is_none() || run.queue == step.preempted_queue;
            let is_running = matches!(run.state, RunState::Running { .. });
            run.is_preemptible && is_running && !run.is_exclusive && is_other_queue && is_named
        };
        let runs = self.runs.iter().filter(|(_, run)| is_allowed(run));
        let runs = runs.map(|(task, run)| PreemptibleRun {
            task,
            resources: run.resources,
            elapsed: clock.since(run.started),
            expected: Span(run.estimate.0.saturating_mul(run_time_percent) / 100),
            percent: run.percent,
        });
        runs.collect()
    }
}
