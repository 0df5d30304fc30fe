//! Starts: which tasks start, which wait for resources, and how unanswered start commands are
//! handled.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::checkpoint::Checkpoint;
use super::super::messages::{EndKind, NotStartedReason, StartBatch};
use super::super::task::{RunId, TaskId};
use super::super::timing::MAX_START_ECHO_AGE;
use super::super::worker_incarnation::WorkerIncarnation;
use super::asked_reading::AskedReading;
use super::proof::EndProof;
use super::run_table::{Run, RunState, StopReason};
use super::worker::{CommandError, FenceToken, Rejection, WorkerClock};
use super::worker_state::IncarnationNumber;
use super::{AgentDecision, AgentEffect, CommandAnswer, CommandKind, IncarnationEnd, LeasedAgent};

/// Maximum number of tasks that wait here for resources.
const MAX_WAITING: usize = 64;
/// Largest increase of a token, as a power of two: 35 years in milliseconds, enough for an agent
/// that started before the wall clock of its host was set.
const MAX_TOKEN_DOUBLINGS: u32 = 40;

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
            owner.last_start_request = Some(now);
            if let Some(offer) = batch.offer {
                owner.end_offer(offer);
            }
        }
        let is_outdated = !self.knows_description(gateway, echo);
        if is_outdated {
            effects.push(AgentEffect::Decided(AgentDecision::StartOutdated {
                job: batch.job,
                step: batch.step,
                tasks: batch.tasks.len(),
                echo_age: now.since(echo),
            }));
        }
        let is_cancelled = self.is_cancelled(now, gateway, batch.job);
        let claimed = self.claimed_reason(now, gateway, batch.job, effects);
        for (index, number) in &batch.tasks {
            let task = TaskId {
                job: batch.job,
                repetition: 0,
                step: batch.step,
                index: *index,
            };
            let checkpoint = checkpoint_of(batch, *index);
            let run = Run {
                number: *number,
                owner: gateway,
                resources: batch.resources,
                estimate: Span::from_millis(u64::from(batch.estimate_millis)),
                input: batch.input.clone(),
                wait_until: now.after(Span::from_millis(u64::from(batch.max_wait_millis))),
                sent: now,
                incarnation: IncarnationNumber::default(),
                is_confirmed: false,
                state: RunState::Waiting,
                retry_stop_at: None,
                unanswered_stops: 0,
                has_logged_overdue_stop: false,
                is_exclusive: batch.is_exclusive,
                has_stalled: batch.has_stalled,
                queue: batch.queue,
                is_preemptible: batch.is_preemptible,
                is_resumed: checkpoint.is_some(),
                checkpoint,
                percent: 0,
                started: WorkerClock::default(),
                progressed: WorkerClock::default(),
            };
            let id = RunId { task, run: *number };
            if let Some(reason) = claimed {
                self.end_unstarted(gateway, id, EndKind::NotStarted(reason), effects);
                continue;
            }
            if self.runs.get(task).is_some() {
                self.add_duplicate(now, gateway, id, effects);
                continue;
            }
            let cancelled = is_cancelled.then_some(NotStartedReason::Withdrawn);
            let outdated = is_outdated.then_some(NotStartedReason::Unavailable);
            let refused = cancelled.or(outdated);
            if let Some(reason) = refused.or_else(|| self.refusal_reason(now, echo, id, &run)) {
                self.end_unstarted(gateway, id, EndKind::NotStarted(reason), effects);
                continue;
            }
            self.runs.insert(task, run);
        }
    }

    /// Reports the end of a requested run that is not in the run table.
    pub(super) fn end_unstarted(
        &mut self,
        gateway: Incarnation,
        run: RunId,
        how: EndKind,
        effects: &mut Vec<AgentEffect>,
    ) {
        if how != EndKind::Done {
            let proof = EndProof::NotSent;
            effects.push(AgentEffect::Decided(AgentDecision::Ended {
                run,
                how,
                proof,
            }));
        }
        if let Some(owner) = self.owners.get_mut(&gateway) {
            owner.push_end(run, how, None);
        }
    }

    /// Why a requested run is refused; `None` if it is accepted.
    fn refusal_reason(
        &self,
        now: Timestamp,
        echo: Timestamp,
        id: RunId,
        run: &Run,
    ) -> Option<NotStartedReason> {
        if self.pending_starts.contains(&id) {
            // Two gateways may use the same number, and the answer to the earlier start could not
            // be told from the answer to this one.
            return Some(NotStartedReason::OldRun);
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
        let fits_at_once = run.resources.fits_in(self.free_resources());
        let may_wait = run.wait_until > now && self.runs.waiting() < MAX_WAITING;
        (!fits_at_once && !may_wait).then_some(NotStartedReason::Full)
    }

    /// Resources that are neither taken, nor needed by waiting tasks, nor reserved by offers or for
    /// tasks for which runs are being stopped.
    pub(super) fn free_resources(&self) -> super::Resources {
        self.capacity()
            .saturating_sub(self.runs.taken())
            .saturating_sub(self.runs.waiting_resources())
            .saturating_sub(self.offered_resources())
            .saturating_sub(self.resources_awaiting_preemption())
    }

    /// Number of further tasks that the worker's health allows; 0 while an exclusive run is
    /// present.
    pub(super) fn limit_left(&self, now: Timestamp) -> u32 {
        if self.runs.has_exclusive() {
            return 0;
        }
        let count = self.runs.len();
        self.health.limit(now, count)
    }

    /// Starts the waiting tasks that fit, earliest wait deadline first.
    pub(super) fn start_waiting(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let may_start = self.is_available(now) && self.is_presence_proved(now);
        if self.runs.waiting() == 0 || !may_start {
            return;
        }
        let mut waiting: Vec<(Timestamp, TaskId)> = self
            .runs
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
        let free = self.capacity().saturating_sub(self.runs.taken());
        let Some(run) = self.runs.get(task) else {
            return;
        };
        let must_wait = run.is_exclusive && self.runs.active() > 0;
        if must_wait || !run.resources.fits_in(free) {
            return;
        }
        let input = run.input.clone();
        let checkpoint = run.checkpoint.clone();
        let run = RunId {
            task,
            run: run.number,
        };
        self.pending_starts.insert(run);
        let lease_until = self.renew(now);
        let kind = CommandKind::Start {
            run,
            input,
            lease_until,
            checkpoint,
        };
        self.runs.set_state(task, RunState::Starting);
        let incarnation = self.incarnation_number;
        self.runs.update(task, |run| {
            run.sent = now;
            run.incarnation = incarnation;
        });
        self.send_command(kind, effects);
    }

    /// Returns waiting tasks whose wait deadline has passed, or all of them if the worker is not
    /// available. While run lists are awaited that prove its presence, the deadline is later.
    pub(super) fn return_waiting(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.runs.waiting() == 0 {
            return;
        }
        let is_available = self.is_available(now);
        let reason = if is_available {
            NotStartedReason::Full
        } else {
            NotStartedReason::Unavailable
        };
        let extension = self.wait_extension(now);
        let has_waited = |run: &Run| now >= run.wait_until.after(extension);
        let returned = self.runs.tasks_where(|run| {
            run.state == RunState::Waiting && (!is_available || has_waited(run))
        });
        for task in returned {
            let how = EndKind::NotStarted(reason);
            self.end_run(now, task, how, EndProof::NotSent, effects);
        }
    }

    pub(super) fn on_start_answered(
        &mut self,
        now: Timestamp,
        id: RunId,
        incarnation: &WorkerIncarnation,
        answer: Result<CommandAnswer, CommandError>,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.pending_starts.remove(&id);
        if answer.is_err() {
            self.forget_presence();
        }
        if !self.is_current(incarnation) {
            self.on_late_start_answer(now, id, answer, effects);
            return;
        }
        let state = self.runs.run(id).map(|run| run.state);
        match answer {
            Err(CommandError::IncarnationEnded) => {
                // The incarnation had ended before the command arrived, so the run did not
                // contribute to the end.
                if state == Some(RunState::Starting) {
                    self.end_run(
                        now,
                        id.task,
                        EndKind::Lost,
                        EndProof::IncarnationEnded,
                        effects,
                    );
                }
                if self.may_outlast_superseding(now) {
                    self.watch_at_once(now);
                } else {
                    let end = IncarnationEnd::Superseded;
                    self.on_incarnation_ended(now, incarnation, end, effects);
                }
            }
            Err(CommandError::ConnectionRefused | CommandError::Outdated) => {
                if state == Some(RunState::Starting) {
                    self.end_run(now, id.task, EndKind::Lost, EndProof::NotSent, effects);
                }
                self.watch_at_once(now);
            }
            Err(CommandError::NoAnswer) => {
                if state == Some(RunState::Starting) {
                    self.stop_run(now, id.task, StopReason::Unanswered, effects);
                }
            }
            Ok(CommandAnswer { clock, rejection }) => {
                let is_other = self.detect_other_process(now, id, clock);
                self.update_clock(now, clock);
                match rejection {
                    None if state == Some(RunState::Starting) => {
                        self.mark_running(now, id.task);
                        if is_other {
                            let reason = StopReason::IncarnationChanged;
                            self.stop_run(now, id.task, reason, effects);
                        }
                    }
                    None => self.runs.confirm(id),
                    Some(rejection) => self.on_start_rejected(now, id, rejection, effects),
                }
            }
        }
    }

    /// Whether the clock in the answer to a start shows that another process than the current incarnation
    /// has carried it out. If so, nothing starts there until it has been asked and has sent a heartbeat.
    fn detect_other_process(
        &mut self,
        now: Timestamp,
        id: RunId,
        clock: Option<WorkerClock>,
    ) -> bool {
        let sent = self.runs.run(id).map(|run| run.sent);
        let (Some(asked_at), Some(reading), Some(worker)) = (sent, clock, &mut self.worker) else {
            return false;
        };
        let asked = AskedReading {
            asked_at,
            answered_at: now,
            reading,
        };
        let is_other = worker.is_of_other_process(asked);
        if is_other {
            worker.forget_statement();
            self.forget_presence();
            self.watch_at_once(now);
        }
        is_other
    }

    /// Marks a start as confirmed.
    pub(super) fn mark_running(&mut self, now: Timestamp, task: TaskId) {
        let clock = self.worker_clock(now);
        self.runs.set_state(task, RunState::Running { since: now });
        self.runs.update(task, |run| {
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
        if self.runs.run(id).is_none() {
            return;
        }
        let how = match rejection {
            Rejection::OldRun => EndKind::NotStarted(NotStartedReason::OldRun),
            Rejection::Full => EndKind::NotStarted(NotStartedReason::Full),
            Rejection::LeaseExpired => EndKind::NotStarted(NotStartedReason::Refused),
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

    pub(super) fn update_clock(&mut self, now: Timestamp, clock: Option<WorkerClock>) {
        if let (Some(worker), Some(clock)) = (&mut self.worker, clock) {
            worker.clock.update(now, clock);
        }
    }

    /// Raises the fencing token after the worker has rejected it as too low. The increment
    /// doubles each time, since the wall clock of an earlier agent may have been ahead by any
    /// amount.
    pub(super) fn raise_token(&mut self) {
        if let Some(worker) = &mut self.worker {
            let step = 1 << worker.fenced.min(MAX_TOKEN_DOUBLINGS);
            worker.fenced += 1;
            worker.has_contested_token = true;
            self.raise_token_by(step);
        }
    }

    /// Raises the token above one that was accepted after others had been rejected: it may equal
    /// that of an earlier agent, whose delayed commands would take effect. Returns whether the
    /// token was raised.
    pub(super) fn exceed_contested_token(&mut self) -> bool {
        let Some(worker) = &mut self.worker else {
            return false;
        };
        let is_contested = std::mem::take(&mut worker.has_contested_token);
        if is_contested {
            worker.wants_watch = true;
            self.raise_token_by(1);
        }
        is_contested
    }

    fn raise_token_by(&mut self, step: u64) {
        if let Some(worker) = &mut self.worker {
            worker.token = FenceToken(worker.token.0 + step);
            self.token = self.token.max(worker.token);
        }
    }
}

/// Saved progress that a batch carries for the task of this index.
fn checkpoint_of(batch: &StartBatch, index: u32) -> Option<Checkpoint> {
    let mut checkpoints = batch.checkpoints.iter();
    let (_, checkpoint) = checkpoints.find(|(of, _)| *of == index)?;
    checkpoint.is_valid().then(|| checkpoint.clone())
}
