//! The watch: renews the leases, takes in the worker's lists, and proves which
//! runs have ended.

use std::collections::BTreeSet;

use laurelstile_types::time::{Span, Timestamp};

use super::super::crashes::CrashedTask;
use super::super::messages::EndKind;
use super::super::task::{RunId, TaskId};
use super::super::timing::{MAX_LEASE_DURATION, MAX_STOP_TIME};
use super::super::worker_incarnation::WorkerIncarnation;
use super::lease::lease_over_at;
use super::ledger::{Run, RunState, StopReason};
use super::life::{Life, LifeNumber};
use super::proof::EndProof;
use super::worker::{OrderFailure, Rejection, WorkerEnd, WorkerEndKind, WorkerLists};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd, OrderKind, WatchAnswer};

/// How long the worker may wait for an end before it answers.
const WATCH_WAIT: Span = Span::from_millis(30);
/// Pause after the second watch in a row without an answer; it doubles so many
/// times. The first is repeated at once.
const WATCH_PAUSE: Span = Span::from_millis(10);
const WATCH_DOUBLINGS: u32 = 4;
/// Watches without an answer after which the leases are left to lapse.
const UNANSWERED_WATCHES: u32 = 2;
/// Pause before a stop is sent again to a run that this agent did not start.
const FOREIGN_STOP_PAUSE: Span = Span::from_millis(100);
impl LeasedAgent {
    /// Sends the next watch if one is wanted and none is under way.
    pub(super) fn watch(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let active = self.ledger.active();
        // The lists alone prove that a stopped run is over: they are wanted at
        // once.
        let awaits_proof = self.ledger.iter().any(|(_, run)| {
            let RunState::Stopping { answered, .. } = run.state else {
                return false;
            };
            answered.is_some()
        });
        let Some(life) = &mut self.life else {
            return;
        };
        let is_wanted = active > 0
            || !life.foreign.is_empty()
            || life.has_news
            || !life.has_synced
            || life.challenger.is_some()
            || life.has_deregistered()
            || life.unanswered_watches > 0;
        if life.watching.is_some() || !is_wanted || now < life.watch_from {
            return;
        }
        let is_renewing = active > 0 && !life.is_left_to_lapse();
        let may_wait = active > 0
            && life.has_synced
            && life.challenger.is_none()
            && !life.has_deregistered()
            && life.unanswered_watches == 0
            && !awaits_proof;
        life.watching = Some(now);
        life.has_news = false;
        let last_seen = life.take_acknowledgement();
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
        name: &WorkerIncarnation,
        answer: Result<WatchAnswer, OrderFailure>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_present(name) {
            return;
        }
        let Some(life) = &mut self.life else {
            return;
        };
        let asked = life.watching.take().unwrap_or(now);
        match answer {
            Err(OrderFailure::LifeOver) => {
                self.on_life_over(now, name, LifeEnd::Superseded, effects);
            }
            // A process that has died listens no more. One that leaves may close its door first
            // and run on, so its leases are left to lapse.
            Err(OrderFailure::Refused) if !life.is_leaving() => {
                self.on_life_over(now, name, LifeEnd::Crashed, effects);
            }
            Err(OrderFailure::NoAnswer | OrderFailure::Refused) => {
                life.unanswered_watches += 1;
                life.watch_from = now.after(watch_pause(life.unanswered_watches));
                if life.unanswered_watches == 1 {
                    let life = life.name.clone();
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
        let Some(life) = &mut self.life else {
            return;
        };
        if let Some(started_at) = life.other_birth(asked, answer.started_at) {
            // Its lists answer an order for the life before. The next watch has the token that
            // fences off whatever is still under way for that.
            let shown = answer.lists.as_ref().map(WorkerLists::shown);
            self.on_reborn(now, started_at, &shown.unwrap_or_default(), effects);
            self.note_clock(now, answer.clock);
            return;
        }
        life.unanswered_watches = 0;
        life.lapsed.clear();
        self.dismiss_challenger(asked, effects);
        self.note_clock(now, answer.clock);
        match answer.lists {
            Ok(lists) => {
                self.note_acknowledged();
                self.on_lists(now, asked, &lists, effects);
            }
            Err(Rejection::Fenced) => self.raise_token(),
            Err(_) => {}
        }
    }

    /// The worker has done what the latest watch told it.
    fn note_acknowledged(&mut self) {
        if let Some(life) = &mut self.life {
            life.acknowledged = life.acknowledged.max(life.told_seen);
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
        self.end_held_starts(now, effects);
        let Some(life) = &mut self.life else {
            return;
        };
        life.foreign.retain(|run, _| running.contains(run));
        life.has_synced = true;
        if life.foreign.is_empty() && !life.told_in_control {
            life.told_in_control = true;
            let decision = AgentDecision::InControl {
                life: life.name.clone(),
                token: life.token,
            };
            effects.push(AgentEffect::Decided(decision));
        }
    }

    fn on_listed_end(&mut self, now: Timestamp, end: &WorkerEnd, effects: &mut Vec<AgentEffect>) {
        if let Some(life) = &mut self.life {
            life.has_news |= end.number > life.last_seen;
            life.last_seen = life.last_seen.max(end.number);
        }
        let Some(run) = self.ledger.run(end.run) else {
            return;
        };
        let how = self.judge_end(now, run.state, end.how);
        self.end_run(now, end.run.task, how, EndProof::Listed, effects);
    }

    fn judge_end(&mut self, now: Timestamp, state: RunState, how: WorkerEndKind) -> EndKind {
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
        let Some(run) = self.ledger.run(id) else {
            self.stop_foreign(now, id, effects);
            return;
        };
        let (state, old_percent, life) = (run.state, run.percent, run.life);
        if state == RunState::Starting {
            // The answer to its start is late or lost; the list proves it.
            self.note_running(now, id.task);
        }
        self.ledger.confirm(id);
        if life != self.life_number {
            // Its lease is by the clock of the life before, and may last longer than any.
            self.stop_run(now, id.task, StopReason::LifeChanged, effects);
            return;
        }
        let clock = self.worker_clock(now);
        if percent > old_percent {
            self.ledger.note(id.task, |run| {
                run.percent = percent;
                run.progressed = clock;
            });
        }
        self.judge_progress(now, clock, id.task, effects);
    }

    /// A run at the worker that is not in the ledger: nobody answers for it,
    /// and its room is unknown. It is stopped, and nothing starts until then.
    fn stop_foreign(&mut self, now: Timestamp, id: RunId, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &mut self.life else {
            return;
        };
        let is_due = life
            .foreign
            .get(&id)
            .is_none_or(|sent| now.since(*sent) >= FOREIGN_STOP_PAUSE);
        if is_due {
            life.foreign.insert(id, now);
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
        let present = self.life_number;
        let over: Vec<(TaskId, EndKind)> = self
            .ledger
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
    pub(super) fn end_lapsed(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let has_lapsed =
            |life: &Life| life.is_left_to_lapse() && now >= lease_over_at(life.renewed);
        if !self.life.as_ref().is_some_and(has_lapsed) {
            return;
        }
        let tasks = self.lapsing_tasks();
        let Some(life) = &mut self.life else {
            return;
        };
        life.has_synced &= !life.is_silent();
        let lapsed = tasks.iter().map(|task| CrashedTask {
            task: *task,
            is_early: false,
        });
        life.lapsed.extend(lapsed);
        for task in tasks {
            self.end_run(now, task, EndKind::Lost, EndProof::LeaseOver, effects);
        }
        self.give_way(now, effects);
    }

    /// When a watch or stop may be sent again.
    pub(super) fn repeat_at(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let watch = self.life.as_ref().map(|life| life.watch_from);
        let watch = watch.filter(|from| *from > now);
        let stops = self.ledger.iter().filter_map(|(_, run)| run.stop_again);
        stops.chain(watch)
    }

    /// When [`Self::end_lapsed`] has something to do.
    pub(super) fn lapse_at(&self) -> Option<Timestamp> {
        let life = self.life.as_ref()?;
        let is_lapsing = life.is_left_to_lapse() && !self.lapsing_tasks().is_empty();
        is_lapsing.then(|| lease_over_at(life.renewed))
    }

    /// Tasks that are over once the lease is. The start of a run that nothing shows to have
    /// been carried out is not, where the worker may have started again under its id: its lease
    /// is by a clock that has begun anew.
    fn lapsing_tasks(&self) -> Vec<TaskId> {
        let life = self.life.as_ref();
        let may_restart = life.is_some_and(|life| life.name.may_restart());
        self.ledger
            .tasks_where(|run| run.takes_room() && !(may_restart && run.is_unconfirmed()))
    }
}

impl Life {
    /// Whether its lease is renewed no more: the worker is silent, or has deregistered.
    fn is_left_to_lapse(&self) -> bool {
        self.is_silent() || self.has_deregistered()
    }

    fn is_silent(&self) -> bool {
        self.unanswered_watches >= UNANSWERED_WATCHES
    }

    /// The number up to which the worker may forget its ends; 0 if it has been told. What it
    /// knows is not said again: a process that has started again under the id, unseen as yet,
    /// would forget its own first ends.
    fn take_acknowledgement(&mut self) -> u64 {
        self.told_seen = self.last_seen;
        if self.last_seen > self.acknowledged {
            self.last_seen
        } else {
            0
        }
    }
}

fn watch_pause(unanswered: u32) -> Span {
    match unanswered.checked_sub(2) {
        None => Span::default(),
        Some(doublings) => Span(WATCH_PAUSE.0 << doublings.min(WATCH_DOUBLINGS)),
    }
}

/// How a run has ended that the worker in its `present` life, asked at `asked`, does not list;
/// `None` if it may yet be listed.
fn end_if_unlisted(asked: Timestamp, run: &Run, present: LifeNumber) -> Option<EndKind> {
    match run.state {
        RunState::Waiting | RunState::Starting => None,
        RunState::Running { since } => (since < asked).then_some(EndKind::Lost),
        RunState::Stopping {
            reason, answered, ..
        } => {
            // After its stop was answered a run is never started; without an
            // answer its start is void once the lease in it is over, by the clock of the life
            // for which it was meant.
            let is_lease_over = asked.since(run.sent).0 > MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0;
            let is_void = is_lease_over && run.life == present;
            let is_stopped = answered.is_some_and(|answered| answered < asked);
            (is_void || is_stopped).then(|| end_of_stop(reason))
        }
    }
}

fn end_of_stop(reason: StopReason) -> EndKind {
    match reason {
        StopReason::Asked
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
