//! Starts: which tasks may start, which wait for room, and what becomes of
//! orders without an answer.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::messages::{EndKind, NotStartedReason, StartBatch};
use super::super::task::{RunId, TaskId};
use super::super::timing::MAX_START_ECHO_AGE;
use super::super::worker_incarnation::WorkerIncarnation;
use super::ledger::{Run, RunState, StopReason};
use super::life::LifeNumber;
use super::proof::EndProof;
use super::worker::{FenceToken, OrderFailure, Rejection, WorkerClock};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeEnd, OrderAnswer, OrderKind};

/// Most tasks that wait here for room.
const MOST_WAITING: usize = 64;
/// A token rises by this power of two at most at a time: 35 years in milliseconds, for a machine
/// that did not know the time.
const MOST_TOKEN_DOUBLINGS: u32 = 40;

impl LeasedAgent {
    pub(super) fn on_start(
        &mut self,
        now: Timestamp,
        gateway: Incarnation,
        echo: Timestamp,
        batch: &StartBatch,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.processed = owner.processed.max(batch.number);
            owner.asked = Some(now);
            if let Some(offer) = batch.offer {
                owner.end_offer(offer);
            }
        }
        for (index, number) in &batch.tasks {
            let task = TaskId {
                job: batch.job,
                repetition: 0,
                step: batch.step,
                index: *index,
            };
            let run = Run {
                number: *number,
                owner: gateway,
                resources: batch.resources,
                estimate: Span::from_millis(u64::from(batch.estimate_millis)),
                input: batch.input.clone(),
                wait_until: now.after(Span::from_millis(u64::from(batch.max_wait_millis))),
                sent: now,
                life: LifeNumber::default(),
                is_confirmed: false,
                state: RunState::Waiting,
                stop_again: None,
                lost_stops: 0,
                is_overdue_told: false,
                is_exclusive: batch.is_exclusive,
                has_stalled: batch.has_stalled,
                percent: 0,
                started: WorkerClock::default(),
                progressed: WorkerClock::default(),
            };
            if let Some(reason) = self.refusal_of(now, echo, task, &run, effects) {
                self.refuse(gateway, RunId { task, run: *number }, reason, effects);
                continue;
            }
            self.ledger.insert(task, run);
        }
    }

    fn refuse(
        &mut self,
        gateway: Incarnation,
        run: RunId,
        reason: NotStartedReason,
        effects: &mut Vec<AgentEffect>,
    ) {
        let how = EndKind::NotStarted(reason);
        effects.push(AgentEffect::Decided(AgentDecision::Ended {
            run,
            how,
            proof: EndProof::NotSent,
        }));
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.push_end(run, how);
        }
    }

    fn refusal_of(
        &mut self,
        now: Timestamp,
        echo: Timestamp,
        task: TaskId,
        run: &Run,
        effects: &mut Vec<AgentEffect>,
    ) -> Option<NotStartedReason> {
        if self.ledger.get(task).is_some() {
            // Whoever asks last has the job now; the earlier run ends first.
            self.stop_run(now, task, StopReason::OwnerSilent, effects);
            return Some(NotStartedReason::Duplicate);
        }
        if now.since(echo) > MAX_START_ECHO_AGE {
            return Some(NotStartedReason::StaleSender);
        }
        if !self.is_available(now) || self.limit_left(now) == 0 {
            return Some(NotStartedReason::Unavailable);
        }
        if run.is_exclusive && run.resources.fits_in(self.capacity()) {
            return None;
        }
        let fits_at_once = run.resources.fits_in(self.free_room());
        let may_wait = run.wait_until > now && self.ledger.waiting() < MOST_WAITING;
        (!fits_at_once && !may_wait).then_some(NotStartedReason::Full)
    }

    /// Room that is neither taken nor spoken for.
    pub(super) fn free_room(&self) -> super::Resources {
        self.capacity()
            .saturating_sub(self.ledger.taken())
            .saturating_sub(self.ledger.waiting_room())
            .saturating_sub(self.offered_room())
    }

    /// Tasks that may still be taken in, by the worker's health; none beside one that is
    /// to be alone.
    pub(super) fn limit_left(&self, now: Timestamp) -> u32 {
        if self.ledger.has_alone() {
            return 0;
        }
        let count = self.ledger.len();
        self.health.limit(now, count)
    }

    /// Starts what waits and fits, the least patient first.
    pub(super) fn start_waiting(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.ledger.waiting() == 0 || !self.is_available(now) {
            return;
        }
        let mut waiting: Vec<(Timestamp, TaskId)> = self
            .ledger
            .iter()
            .filter(|(_, run)| run.state == RunState::Waiting)
            .map(|(task, run)| (run.wait_until, task))
            .collect();
        waiting.sort_unstable();
        for (_, task) in waiting {
            self.start_if_fits(now, task, effects);
        }
    }

    fn start_if_fits(&mut self, now: Timestamp, task: TaskId, effects: &mut Vec<AgentEffect>) {
        let free = self.capacity().saturating_sub(self.ledger.taken());
        let Some(run) = self.ledger.get(task) else {
            return;
        };
        let must_wait = run.is_exclusive && self.ledger.active() > 0;
        if must_wait || !run.resources.fits_in(free) {
            return;
        }
        let input = run.input.clone();
        let run = RunId {
            task,
            run: run.number,
        };
        let lease_until = self.renew(now);
        let kind = OrderKind::Start {
            run,
            input,
            lease_until,
        };
        self.ledger.set_state(task, RunState::Starting);
        let life = self.life_number;
        self.ledger.note(task, |run| {
            run.sent = now;
            run.life = life;
        });
        self.order(kind, effects);
    }

    /// Gives back what has waited for too long, or cannot start any more.
    pub(super) fn end_waits(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.ledger.waiting() == 0 {
            return;
        }
        let is_available = self.is_available(now);
        let reason = if is_available {
            NotStartedReason::Full
        } else {
            NotStartedReason::Unavailable
        };
        let over = self.ledger.tasks_where(|run| {
            run.state == RunState::Waiting && (!is_available || now >= run.wait_until)
        });
        for task in over {
            let how = EndKind::NotStarted(reason);
            self.end_run(now, task, how, EndProof::NotSent, effects);
        }
    }

    pub(super) fn on_start_answered(
        &mut self,
        now: Timestamp,
        id: RunId,
        life: &WorkerIncarnation,
        answer: Result<OrderAnswer, OrderFailure>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_present(life) {
            self.on_late_start_answer(now, id, answer, effects);
            return;
        }
        let state = self.ledger.run(id).map(|run| run.state);
        match answer {
            Err(OrderFailure::LifeOver) => {
                // The life was over before the order came: the run has no part in that.
                if state == Some(RunState::Starting) {
                    self.end_run(now, id.task, EndKind::Lost, EndProof::LifeOver, effects);
                }
                self.on_life_over(now, life, LifeEnd::Superseded, effects);
            }
            Err(OrderFailure::Refused) => {
                if state == Some(RunState::Starting) {
                    self.end_run(now, id.task, EndKind::Lost, EndProof::NotSent, effects);
                }
                self.watch_at_once(now);
            }
            Err(OrderFailure::NoAnswer) => {
                if state == Some(RunState::Starting) {
                    self.stop_run(now, id.task, StopReason::Unanswered, effects);
                }
            }
            Ok(OrderAnswer { clock, rejection }) => {
                self.note_clock(now, clock);
                match rejection {
                    None if state == Some(RunState::Starting) => {
                        self.note_running(now, id.task);
                    }
                    None => self.ledger.confirm(id),
                    Some(rejection) => self.on_start_rejected(now, id, rejection, effects),
                }
            }
        }
    }

    /// A start is proved to have been carried out.
    pub(super) fn note_running(&mut self, now: Timestamp, task: TaskId) {
        let clock = self.worker_clock(now);
        self.ledger
            .set_state(task, RunState::Running { since: now });
        self.ledger.note(task, |run| {
            run.is_confirmed = true;
            run.started = clock;
            run.progressed = clock;
        });
    }

    fn on_start_rejected(
        &mut self,
        now: Timestamp,
        id: RunId,
        rejection: Rejection,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self.ledger.run(id).is_none() {
            return;
        }
        let how = match rejection {
            Rejection::OldRun => EndKind::NotStarted(NotStartedReason::OldRun),
            Rejection::Full => EndKind::NotStarted(NotStartedReason::Full),
            Rejection::Late => EndKind::NotStarted(NotStartedReason::Refused),
            Rejection::Fenced => {
                self.raise_token();
                EndKind::NotStarted(NotStartedReason::Refused)
            }
            Rejection::Unhealthy => {
                self.health.on_failed(now);
                EndKind::NotStarted(NotStartedReason::Refused)
            }
            Rejection::Invalid => EndKind::Failed,
        };
        self.end_run(now, id.task, how, EndProof::Rejected, effects);
    }

    pub(super) fn note_clock(&mut self, now: Timestamp, clock: Option<WorkerClock>) {
        if let (Some(life), Some(clock)) = (&mut self.life, clock) {
            life.clock.update(now, clock);
        }
    }

    /// The worker has seen a higher token than ours: take a higher one still, in steps that
    /// double, since an earlier agent's time of day may have been ahead by any span.
    pub(super) fn raise_token(&mut self) {
        if let Some(life) = &mut self.life {
            let step = 1 << life.fenced.min(MOST_TOKEN_DOUBLINGS);
            life.fenced += 1;
            life.token = FenceToken(life.token.0 + step);
            self.token = self.token.max(life.token);
        }
    }
}
