//! The watch: renews the leases, takes in the worker's lists, and proves which
//! runs have ended.

use std::collections::BTreeSet;

use laurelstile_types::time::{Span, Timestamp};

use super::super::crashes::CrashedTask;
use super::super::life_name::LifeName;
use super::super::messages::EndKind;
use super::super::task::{RunId, TaskId};
use super::super::timing::{LEASE_AT_MOST, STOP_AT_MOST};
use super::lease::lease_expired_at;
use super::ledger::{Run, RunState, StopReason};
use super::life::{IncarnationNumber, WorkerState};
use super::proof::EndProof;
use super::worker::{OrderFailure, Rejection, WorkerEnd, WorkerEndKind, WorkerLists};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd, OrderKind, WatchAnswer};

/// How long the worker may wait for an end before it answers.
const WATCH_WAIT: Span = Span::from_millis(30);
/// Pause after the second watch in a row without an answer; it doubles so many
/// times. The first is repeated at once.
const WATCH_RETRY_DELAY: Span = Span::from_millis(10);
const MAX_WATCH_DOUBLINGS: u32 = 4;
/// Watches without an answer after which the leases are left to lapse.
const SILENT_WATCHES: u32 = 2;
/// Pause before a stop is sent again to a run that this agent did not start.
const ORPHAN_STOP_INTERVAL: Span = Span::from_millis(100);
impl LeasedAgent {
    /// Sends the next watch if one is wanted and none is under way.
    pub(super) fn watch(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let active = self.runs.active();
        // The lists alone prove that a stopped run is over: they are wanted at
        // once.
        let awaits_proof = self.runs.iter().any(|(_, run)| {
            let RunState::Stopping { answered, .. } = run.state else {
                return false;
            };
            answered.is_some()
        });
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_wanted = active > 0
            || !worker.orphans.is_empty()
            || worker.has_pending_watch
            || !worker.has_synced
            || worker.successor.is_some()
            || worker.has_deregistered()
            || worker.unanswered_watches > 0;
        if worker.watching.is_some() || !is_wanted || now < worker.watch_from {
            return;
        }
        let is_renewing = active > 0 && !worker.is_lease_expiring();
        let may_wait = active > 0
            && worker.has_synced
            && worker.successor.is_none()
            && !worker.has_deregistered()
            && worker.unanswered_watches == 0
            && !awaits_proof;
        worker.watching = Some(now);
        worker.has_pending_watch = false;
        let last_seen = worker.take_acknowledgement();
        let lease_until = is_renewing.then(|| self.renew(now));
        let kind = OrderKind::Watch {
            last_seen,
            lease_until,
            wait: if may_wait {
                WATCH_WAIT
            } else {
                Span::default()
            },
        };
        self.order(kind, effects);
    }

    pub(super) fn on_watched(
        &mut self,
        now: Timestamp,
        name: &LifeName,
        answer: Result<WatchAnswer, OrderFailure>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_current(name) {
            return;
        }
        let Some(worker) = &mut self.worker else {
            return;
        };
        let asked = worker.watching.take().unwrap_or(now);
        match answer {
            Err(OrderFailure::LifeOver) => {
                self.on_incarnation_ended(now, name, LifeEnd::Superseded, effects);
            }
            // A process that has died listens no more. One that leaves may close its door first
            // and run on, so its leases are left to lapse.
            Err(OrderFailure::Refused) if !worker.is_leaving() => {
                self.on_incarnation_ended(now, name, LifeEnd::Crashed, effects);
            }
            Err(OrderFailure::NoAnswer | OrderFailure::Refused) => {
                worker.unanswered_watches += 1;
                worker.watch_from = now.after(watch_retry_delay(worker.unanswered_watches));
                if worker.unanswered_watches == 1 {
                    let life = worker.name.clone();
                    effects.push(AgentEffect::Decided(AgentDecision::WorkerSilent { life }));
                }
            }
            Ok(answer) => self.on_watch_answered(now, asked, answer, effects),
        }
    }

    fn on_watch_answered(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        answer: WatchAnswer,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(born) = worker.detected_restart(asked, answer.born) {
            // Its lists answer an order for the life before. The next watch has the token that
            // fences off whatever is still under way for that.
            let listed = answer.lists.as_ref().map(WorkerLists::listed);
            self.on_restarted(now, born, &listed.unwrap_or_default(), effects);
            self.update_clock(now, answer.clock);
            return;
        }
        worker.unanswered_watches = 0;
        worker.expired_tasks.clear();
        self.dismiss_successor(asked, effects);
        self.update_clock(now, answer.clock);
        match answer.lists {
            Ok(lists) => {
                self.confirm_acknowledged();
                self.on_lists(now, asked, &lists, effects);
            }
            Err(Rejection::Fenced) => self.raise_token(),
            Err(_) => {}
        }
    }

    /// The worker has done what the latest watch told it.
    fn confirm_acknowledged(&mut self) {
        if let Some(worker) = &mut self.worker {
            worker.acknowledged = worker.acknowledged.max(worker.last_seen_sent);
        }
    }

    fn on_lists(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        lists: &WorkerLists,
        effects: &mut Vec<AgentEffect>,
    ) {
        for end in &lists.ended {
            self.on_listed_end(now, end, effects);
        }
        for (run, percent) in &lists.running {
            self.on_listed_run(now, *run, *percent, effects);
        }
        let running: BTreeSet<RunId> = lists.running.iter().map(|(run, _)| *run).collect();
        if lists.unreadable == 0 {
            self.end_unlisted(now, asked, &running, effects);
        }
        self.discard_held_starts(now, effects);
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.orphans.retain(|run, _| running.contains(run));
        worker.has_synced = true;
        if worker.orphans.is_empty() && !worker.has_logged_control {
            worker.has_logged_control = true;
            let decision = AgentDecision::InControl {
                life: worker.name.clone(),
                token: worker.token,
            };
            effects.push(AgentEffect::Decided(decision));
        }
    }

    fn on_listed_end(&mut self, now: Timestamp, end: &WorkerEnd, effects: &mut Vec<AgentEffect>) {
        if let Some(worker) = &mut self.worker {
            worker.has_pending_watch |= end.number > worker.last_seen;
            worker.last_seen = worker.last_seen.max(end.number);
        }
        let Some(run) = self.runs.run(end.run) else {
            return;
        };
        let how = self.classify_end(now, run.state, end.how);
        self.end_run(now, end.run.task, how, EndProof::Listed, effects);
    }

    fn classify_end(&mut self, now: Timestamp, state: RunState, how: WorkerEndKind) -> EndKind {
        match (how, state) {
            (WorkerEndKind::Done, _) => EndKind::Done,
            (WorkerEndKind::Failed, _) => {
                self.health.on_failed(now);
                if self.health.is_suspect() {
                    EndKind::FailedOnSuspect
                } else {
                    EndKind::Failed
                }
            }
            (WorkerEndKind::Stopped, RunState::Stopping { reason, .. }) => end_of_stop(reason),
            (WorkerEndKind::Stopped | WorkerEndKind::Lapsed, _) => EndKind::Lost,
        }
    }

    fn on_listed_run(
        &mut self,
        now: Timestamp,
        id: RunId,
        percent: u32,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.run(id) else {
            self.stop_orphan(now, id, effects);
            return;
        };
        let (state, old_percent, life) = (run.state, run.percent, run.life);
        if state == RunState::Starting {
            // The answer to its start is late or lost; the list proves it.
            self.mark_running(now, id.task);
        }
        self.runs.confirm(id);
        if life != self.incarnation_number {
            // Its lease is by the clock of the life before, and may last longer than any.
            self.stop_run(now, id.task, StopReason::LifeChanged, effects);
            return;
        }
        let clock = self.worker_clock(now);
        if percent > old_percent {
            self.runs.note(id.task, |run| {
                run.percent = percent;
                run.progressed = clock;
            });
        }
        self.check_progress(now, clock, id.task, effects);
    }

    /// A run at the worker that is not in the ledger: nobody answers for it,
    /// and its room is unknown. It is stopped, and nothing starts until then.
    fn stop_orphan(&mut self, now: Timestamp, id: RunId, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_due = worker
            .orphans
            .get(&id)
            .is_none_or(|sent| now.since(*sent) >= ORPHAN_STOP_INTERVAL);
        if is_due {
            worker.orphans.insert(id, now);
            self.order(OrderKind::Stop { run: id }, effects);
        }
    }

    /// Ends the runs that the worker, asked after their last change, lists
    /// neither as running nor as ended.
    fn end_unlisted(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        running: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let present = self.incarnation_number;
        let over: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter(|(task, run)| !running.contains(&run.id(*task)))
            .filter_map(|(task, run)| Some((task, end_if_unlisted(asked, run, present)?)))
            .collect();
        for (task, how) in over {
            self.end_run(now, task, how, EndProof::Unlisted, effects);
        }
    }

    /// A silent worker has let everything lapse once the last renewal is old
    /// enough; gateways may repeat it. Its room stays unknown, so nothing
    /// starts there until its lists have come.
    pub(super) fn end_expired_runs(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let has_expired = |worker: &WorkerState| {
            worker.is_lease_expiring() && now >= lease_expired_at(worker.renewed)
        };
        if !self.worker.as_ref().is_some_and(has_expired) {
            return;
        }
        let tasks = self.expiring_tasks();
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.has_synced &= !worker.is_silent();
        let expired_tasks = tasks.iter().map(|task| CrashedTask {
            task: *task,
            is_early: false,
        });
        worker.expired_tasks.extend(expired_tasks);
        for task in tasks {
            self.end_run(now, task, EndKind::Lost, EndProof::LeaseOver, effects);
        }
        self.replace_expired_incarnation(now, effects);
    }

    /// When a watch or stop may be sent again.
    pub(super) fn retry_at(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let watch = self.worker.as_ref().map(|worker| worker.watch_from);
        let watch = watch.filter(|from| *from > now);
        let stops = self.runs.iter().filter_map(|(_, run)| run.retry_stop_at);
        stops.chain(watch)
    }

    /// When [`Self::end_lapsed`] has something to do.
    pub(super) fn lease_expiry_at(&self) -> Option<Timestamp> {
        let worker = self.worker.as_ref()?;
        let is_expiring = worker.is_lease_expiring() && !self.expiring_tasks().is_empty();
        is_expiring.then(|| lease_expired_at(worker.renewed))
    }

    /// Tasks that are over once the lease is. The start of a run that nothing shows to have
    /// been carried out is not, where the worker may have started again under its id: its lease
    /// is by a clock that has begun anew.
    fn expiring_tasks(&self) -> Vec<TaskId> {
        let worker = self.worker.as_ref();
        let may_return = worker.is_some_and(|worker| worker.name.may_return());
        self.runs
            .tasks_where(|run| run.takes_room() && !(may_return && run.is_unconfirmed()))
    }
}

impl WorkerState {
    /// Whether its lease is renewed no more: the worker is silent, or has deregistered.
    fn is_lease_expiring(&self) -> bool {
        self.is_silent() || self.has_deregistered()
    }

    fn is_silent(&self) -> bool {
        self.unanswered_watches >= SILENT_WATCHES
    }

    /// The number up to which the worker may forget its ends; 0 if it has been told. What it
    /// knows is not said again: a process that has started again under the id, unseen as yet,
    /// would forget its own first ends.
    fn take_acknowledgement(&mut self) -> u64 {
        self.last_seen_sent = self.last_seen;
        if self.last_seen > self.acknowledged {
            self.last_seen
        } else {
            0
        }
    }
}

fn watch_retry_delay(unanswered: u32) -> Span {
    match unanswered.checked_sub(2) {
        None => Span::default(),
        Some(doublings) => Span(WATCH_RETRY_DELAY.0 << doublings.min(MAX_WATCH_DOUBLINGS)),
    }
}

/// How a run has ended that the worker in its `present` life, asked at `asked`, does not list;
/// `None` if it may yet be listed.
fn end_if_unlisted(asked: Timestamp, run: &Run, present: IncarnationNumber) -> Option<EndKind> {
    match run.state {
        RunState::Waiting | RunState::Starting => None,
        RunState::Running { since } => (since < asked).then_some(EndKind::Lost),
        RunState::Stopping {
            reason, answered, ..
        } => {
            // After its stop was answered a run is never started; without an
            // answer its start is void once the lease in it is over, by the clock of the life
            // for which it was meant.
            let is_lease_over = asked.since(run.sent).0 > LEASE_AT_MOST.0 + STOP_AT_MOST.0;
            let is_void = is_lease_over && run.life == present;
            let is_stopped = answered.is_some_and(|answered| answered < asked);
            (is_void || is_stopped).then(|| end_of_stop(reason))
        }
    }
}

fn end_of_stop(reason: StopReason) -> EndKind {
    match reason {
        StopReason::Requested
        | StopReason::OwnerSilent
        | StopReason::AgentStops
        | StopReason::WorkerLeaves => EndKind::Stopped,
        StopReason::Stalled => EndKind::Stalled,
        StopReason::TooSlow { projected } => EndKind::TooSlow {
            projected_millis: u32::try_from(projected.as_millis()).unwrap_or(u32::MAX),
        },
        StopReason::LifeChanged => EndKind::Lost,
        StopReason::Unanswered => EndKind::NotStarted(super::NotStartedReason::Refused),
    }
}
