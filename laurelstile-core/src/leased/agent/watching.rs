//! The watch: a long poll that renews the lease and returns the worker's run lists, which show
//! what has ended.

use std::collections::BTreeSet;

use laurelstile_types::time::{Span, Timestamp};

use super::super::crashes::CrashedTask;
use super::super::messages::EndKind;
use super::super::task::{RunId, TaskId};
use super::super::timing::{MAX_LEASE_DURATION, MAX_STOP_TIME};
use super::super::worker_incarnation::WorkerIncarnation;
use super::asked_reading::AskedReading;
use super::crash_history::is_early;
use super::lease::lease_expired_at;
use super::proof::EndProof;
use super::run_table::{Run, RunState, StopReason};
use super::worker::{CommandError, Rejection, RunLists, WorkerEnd, WorkerEndKind};
use super::worker_state::{IncarnationNumber, Orphan, WorkerState};
use super::{AgentDecision, AgentEffect, CommandKind, IncarnationEnd, LeasedAgent, WatchAnswer};

/// How long the worker may wait for a run to end before it answers.
const WATCH_WAIT: Span = Span::from_millis(30);
/// Delay after the second consecutive unanswered watch, doubled for each further one at most
/// [`MAX_WATCH_DOUBLINGS`] times. The first unanswered watch is repeated at once.
const WATCH_RETRY_DELAY: Span = Span::from_millis(10);
const MAX_WATCH_DOUBLINGS: u32 = 4;
/// Consecutive unanswered watches after which the lease is no longer renewed.
const SILENT_WATCHES: u32 = 2;
/// Minimum interval between two stops for the same orphaned run.
const ORPHAN_STOP_INTERVAL: Span = Span::from_millis(100);

impl LeasedAgent {
    /// Sends the next watch if one is wanted and none is pending.
    pub(super) fn watch(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let active = self.runs.active();
        // Only the run lists confirm the end of a stopped run, so they are requested without a
        // wait.
        let awaits_proof = self.runs.iter().any(|(_, run)| {
            let RunState::Stopping { answered, .. } = run.state else {
                return false;
            };
            answered.is_some()
        });
        let awaits_presence = self.awaits_presence(now);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_wanted = active > 0
            || awaits_presence
            || !worker.orphans.is_empty()
            || worker.wants_watch
            || !worker.has_synced
            || worker.successor.is_some()
            || worker.has_deregistered()
            || worker.unanswered_watches > 0;
        if worker.watching.is_some() || !is_wanted || now < worker.watch_from {
            return;
        }
        let is_renewing = active > 0 && !worker.is_expiring();
        let may_wait = active > 0
            && worker.has_synced
            && worker.successor.is_none()
            && !worker.has_deregistered()
            && worker.unanswered_watches == 0
            && !awaits_proof
            && !awaits_presence;
        worker.watching = Some(now);
        worker.presence.on_watch_sent();
        worker.wants_watch = false;
        let last_seen = worker.take_acknowledgement();
        let lease_until = is_renewing.then(|| self.renew(now));
        let kind = CommandKind::Watch {
            last_seen,
            lease_until,
            wait: if may_wait {
                WATCH_WAIT
            } else {
                Span::default()
            },
        };
        self.send_command(kind, effects);
    }

    pub(super) fn on_watched(
        &mut self,
        now: Timestamp,
        incarnation: &WorkerIncarnation,
        answer: Result<WatchAnswer, CommandError>,
        effects: &mut Vec<AgentEffect>,
    ) {
        if !self.is_current(incarnation) {
            return;
        }
        let may_outlast = self.may_outlast_superseding(now);
        let Some(worker) = &mut self.worker else {
            return;
        };
        let asked_at = worker.watching.take();
        worker.presence.on_watch_ended();
        let queried_at = asked_at.unwrap_or(now);
        match answer {
            Err(CommandError::IncarnationEnded) if may_outlast => {
                self.on_watch_without_effect(now, effects);
            }
            Err(CommandError::IncarnationEnded) => {
                self.on_incarnation_ended(now, incarnation, IncarnationEnd::Superseded, effects);
            }
            // A process may stop listening while its runs continue, so its lease is left to expire.
            Err(CommandError::ConnectionRefused) => {
                // A process that closes its listener keeps its connections; one that has crashed has
                // broken the watch before.
                let has_broken_watch = worker.unanswered_watches > 0 && !worker.is_refusing;
                worker.is_refusing = true;
                worker.unanswered_since.get_or_insert(now);
                self.on_watch_without_effect(now, effects);
                if has_broken_watch {
                    self.report_suspected_crash(now);
                }
            }
            Err(CommandError::NoAnswer | CommandError::Outdated) => {
                worker.is_refusing = false;
                worker.unanswered_since.get_or_insert(now);
                self.on_watch_without_effect(now, effects);
            }
            Ok(answer) => {
                self.record_answer_time(now, asked_at, &answer);
                self.on_watch_answered(now, queried_at, answer, effects);
            }
        }
    }

    /// Records when run lists were sent, and the clock reading in them, unless another incarnation sent
    /// them. A rejection does not carry the start time of its sender.
    fn record_answer_time(
        &mut self,
        now: Timestamp,
        asked_at: Option<Timestamp>,
        answer: &WatchAnswer,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_other = worker.incarnation.is_other_incarnation(answer.started_at);
        let Some(asked_at) = asked_at.filter(|_| answer.lists.is_ok() && !is_other) else {
            return;
        };
        let Some(reading) = answer.clock else {
            worker.presence.on_lists(asked_at);
            return;
        };
        let asked = AskedReading {
            asked_at,
            answered_at: now,
            reading,
        };
        worker.record_asked_reading(now, asked);
        let age = worker
            .asked_reading
            .map(|asked| asked.max_age(now, reading));
        let sent_at = age.map_or(asked_at, |age| now.before(age));
        worker.presence.on_lists(sent_at.max(asked_at));
    }

    /// Handles a watch that was not answered, or that the worker rejected: it has renewed no lease.
    fn on_watch_without_effect(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.unanswered_watches += 1;
        worker.watch_from = now.after(watch_retry_delay(worker.unanswered_watches));
        if worker.unanswered_watches == 1 {
            let incarnation = worker.incarnation.clone();
            effects.push(AgentEffect::Decided(AgentDecision::WorkerSilent {
                incarnation,
            }));
        }
    }

    fn on_watch_answered(
        &mut self,
        now: Timestamp,
        queried_at: Timestamp,
        answer: WatchAnswer,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        if let Some(started_at) = worker.detected_restart(queried_at, answer.started_at) {
            // These lists answer a command for the previous incarnation. The next watch carries
            // a new token, which fences off commands for the previous one that are still in
            // flight.
            let listed = answer.lists.as_ref().map(RunLists::listed);
            self.on_restarted(now, started_at, &listed.unwrap_or_default(), effects);
            self.update_clock(now, answer.clock);
            return;
        }
        worker.is_refusing = false;
        let is_fenced = answer.lists == Err(Rejection::Fenced);
        if answer.lists.is_err() && !is_fenced {
            self.update_clock(now, answer.clock);
            self.on_watch_without_effect(now, effects);
            return;
        }
        worker.unanswered_watches = 0;
        worker.unanswered_since = None;
        worker.has_reported_crash = false;
        worker.expired_tasks.clear();
        self.crash_history.withdraw(&worker.incarnation);
        self.dismiss_successor(queried_at, effects);
        self.update_clock(now, answer.clock);
        match answer.lists {
            Ok(lists) => {
                self.confirm_acknowledged();
                if !self.exceed_contested_token() {
                    self.on_lists(now, queried_at, &lists, effects);
                }
            }
            Err(_) => self.raise_token(),
        }
    }

    /// Records that the worker has processed the latest watch.
    fn confirm_acknowledged(&mut self) {
        if let Some(worker) = &mut self.worker {
            worker.acknowledged = worker.acknowledged.max(worker.last_seen_sent);
        }
    }

    fn on_lists(
        &mut self,
        now: Timestamp,
        queried_at: Timestamp,
        lists: &RunLists,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.record_checkpoints(&lists.checkpoints);
        for end in &lists.ended {
            self.on_listed_end(now, end, effects);
        }
        for (run, percent) in &lists.running {
            self.on_listed_run(now, *run, *percent, effects);
        }
        let running: BTreeSet<RunId> = lists.running.iter().map(|(run, _)| *run).collect();
        if lists.unreadable == 0 {
            self.end_unlisted(now, queried_at, &running, effects);
        }
        self.discard_held_starts(now, effects);
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.orphans.retain(|run, _| running.contains(run));
        worker.has_synced = true;
        worker.listed_at = Some(now);
        if worker.orphans.is_empty() && !worker.has_logged_control {
            worker.has_logged_control = true;
            let decision = AgentDecision::ControlTaken {
                incarnation: worker.incarnation.clone(),
                token: worker.token,
            };
            effects.push(AgentEffect::Decided(decision));
        }
        let token = worker.token;
        if worker.listed_token.replace(token) != Some(token) {
            self.invalidate_snapshots();
        }
    }

    fn on_listed_end(&mut self, now: Timestamp, end: &WorkerEnd, effects: &mut Vec<AgentEffect>) {
        if let Some(worker) = &mut self.worker {
            worker.wants_watch |= end.number > worker.last_seen;
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
            (WorkerEndKind::Stopped | WorkerEndKind::Expired, _) => EndKind::Lost,
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
        let (state, old_percent, incarnation) = (run.state, run.percent, run.incarnation);
        if state == RunState::Starting {
            // The answer to the start is delayed or lost; the list confirms the start.
            self.mark_running(now, id.task);
        }
        self.runs.confirm(id);
        if incarnation != self.incarnation_number {
            // The lease of the run was set on the previous incarnation's clock and may last too
            // long.
            self.stop_run(now, id.task, StopReason::IncarnationChanged, effects);
            return;
        }
        let clock = self.worker_clock(now);
        if percent > old_percent {
            self.runs.update(id.task, |run| {
                run.percent = percent;
                run.progressed = clock;
            });
        }
        self.check_progress(now, clock, id.task, effects);
    }

    /// Stops an orphaned run: the worker lists it, but the agent does not know it. Its resources
    /// are unknown, so nothing starts until it has ended.
    fn stop_orphan(&mut self, now: Timestamp, id: RunId, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let orphan = worker.orphans.get(&id).copied();
        let is_due =
            orphan.is_none_or(|orphan| now.since(orphan.stop_sent) >= ORPHAN_STOP_INTERVAL);
        if is_due {
            let orphan = Orphan {
                since: orphan.map_or(now, |orphan| orphan.since),
                stop_sent: now,
            };
            worker.orphans.insert(id, orphan);
            self.send_command(CommandKind::Stop { run: id }, effects);
        }
    }

    /// Ends the runs that the worker, queried after their last change, lists neither as running
    /// nor as ended.
    fn end_unlisted(
        &mut self,
        now: Timestamp,
        queried_at: Timestamp,
        running: &BTreeSet<RunId>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let current = self.incarnation_number;
        let ended: Vec<(TaskId, EndKind)> = self
            .runs
            .iter()
            .filter(|(task, run)| !running.contains(&run.id(*task)))
            .filter_map(|(task, run)| Some((task, end_if_unlisted(queried_at, run, current)?)))
            .collect();
        for (task, how) in ended {
            self.end_run(now, task, how, EndProof::Unlisted, effects);
        }
    }

    /// Ends the runs of a worker that is silent or has deregistered once the lease has expired;
    /// their gateways may repeat them. Nothing starts on a silent worker until new run lists
    /// have arrived. A worker that refuses connections by then has crashed.
    pub(super) fn end_expired_runs(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let has_expired =
            |worker: &WorkerState| worker.is_expiring() && now >= lease_expired_at(worker.renewed);
        let Some(worker) = self.worker.as_ref().filter(|worker| has_expired(worker)) else {
            return;
        };
        if worker.has_crashed() {
            let incarnation = worker.incarnation.clone();
            self.on_incarnation_ended(now, &incarnation, IncarnationEnd::Crashed, effects);
            return;
        }
        let tasks = self.expiring_tasks();
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.has_synced &= !worker.is_silent();
        let ended_at = worker.unanswered_since.unwrap_or(now);
        let expired_tasks = tasks.iter().filter_map(|task| {
            let run = self.runs.get(*task)?;
            let is_early = is_early(run, ended_at.since(run.sent));
            let task = *task;
            Some(CrashedTask { task, is_early })
        });
        worker.expired_tasks.extend(expired_tasks);
        if !worker.is_leaving() {
            // Precedes the ends, after which gateways may start the tasks again.
            let tasks = worker.expired_tasks.clone();
            self.crash_history.presume(&worker.incarnation, tasks);
        }
        for task in tasks {
            self.end_run(now, task, EndKind::Lost, EndProof::LeaseExpired, effects);
        }
        self.replace_expired_incarnation(now, effects);
    }

    /// When watches or stops are next sent again.
    pub(super) fn retry_at(&self, now: Timestamp) -> impl Iterator<Item = Timestamp> {
        let watch = self.worker.as_ref().map(|worker| worker.watch_from);
        let watch = watch.filter(|from| *from > now);
        let stops = self.runs.iter().filter_map(|(_, run)| run.retry_stop_at);
        stops.chain(watch)
    }

    /// When [`Self::end_expired_runs`] is next due.
    pub(super) fn lease_expiry_at(&self) -> Option<Timestamp> {
        let worker = self.worker.as_ref()?;
        let is_awaited = worker.has_crashed() || !self.expiring_tasks().is_empty();
        (worker.is_expiring() && is_awaited).then(|| lease_expired_at(worker.renewed))
    }

    /// Tasks whose runs have ended once the lease has expired. Unconfirmed starts are excluded if
    /// the worker may restart under the same id: the clock that the lease refers to may have
    /// started again.
    fn expiring_tasks(&self) -> Vec<TaskId> {
        let worker = self.worker.as_ref();
        let may_restart = worker.is_some_and(|worker| worker.incarnation.may_restart());
        self.runs
            .tasks_where(|run| run.takes_resources() && !(may_restart && run.is_unconfirmed()))
    }
}

impl WorkerState {
    /// Whether the lease is no longer renewed, because the worker is silent or has deregistered.
    fn is_expiring(&self) -> bool {
        self.is_silent() || self.has_deregistered()
    }

    /// Whether the worker, once its lease has expired, is known to have crashed: it refuses
    /// connections without having announced its shutdown.
    fn has_crashed(&self) -> bool {
        self.is_refusing && !self.is_leaving()
    }

    fn is_silent(&self) -> bool {
        self.unanswered_watches >= SILENT_WATCHES
    }

    /// The entry number up to which the worker may discard ended runs; 0 if it has already
    /// received that number. A number is not repeated: a process that has restarted under the
    /// same id unnoticed would discard its own first entries.
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

/// How a run ended that is missing from the run lists requested at `queried_at`; `None` if it may
/// still be listed. `current` is the number of the current incarnation.
fn end_if_unlisted(
    queried_at: Timestamp,
    run: &Run,
    current: IncarnationNumber,
) -> Option<EndKind> {
    match run.state {
        RunState::Waiting | RunState::Starting => None,
        RunState::Running { since } => (since < queried_at).then_some(EndKind::Lost),
        RunState::Stopping {
            reason, answered, ..
        } => {
            // A run never starts after its stop was answered. Without an answer, its start is
            // void once its lease has expired on the clock of the incarnation that it was sent
            // to.
            let has_lease_expired =
                queried_at.since(run.sent).0 > MAX_LEASE_DURATION.0 + MAX_STOP_TIME.0;
            let is_void = has_lease_expired && run.incarnation == current;
            let is_stopped = answered.is_some_and(|answered| answered < queried_at);
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
        StopReason::Preempted => EndKind::Preempted,
        StopReason::TooSlow { projected } => EndKind::TooSlow {
            projected_millis: u32::try_from(projected.as_millis()).unwrap_or(u32::MAX),
        },
        StopReason::IncarnationChanged => EndKind::Lost,
        StopReason::Unanswered => EndKind::NotStarted(super::NotStartedReason::Refused),
    }
}
