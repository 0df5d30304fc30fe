//! The agent of a leased worker. Only the agent sends commands to its worker, so it alone
//! decides what starts there. It renews the worker's lease and stops runs whose gateway is
//! gone.

mod asked_reading;
mod cancels;
mod checkpoints;
mod claims;
mod crash_history;
mod departure;
mod deregistration;
mod description;
mod duplicates;
pub mod events;
mod health;
mod heartbeats;
mod incarnation_end;
mod lease;
mod offers;
mod outgoing;
mod owner;
mod past_incarnations;
mod preempting;
pub mod preemption;
mod presence;
mod progress;
pub mod proof;
mod queue_usage;
mod run_table;
mod served_counts;
mod sessions;
mod starting;
pub mod stated_labels;
mod statement;
mod stopping;
mod timeouts;
mod watching;
pub mod worker;
mod worker_state;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::cancel_log::CancelLog;
use super::evacuation::Evacuations;
use super::messages::{EndKind, NotStartedReason};
use super::resources::Resources;
use super::task::{RunId, TaskId};
use crate::session::SessionId;
use claims::HonoredClaims;
use crash_history::CrashHistory;
use description::DescriptionNumber;
use duplicates::DuplicateRequest;
pub use events::{
    AgentDecision, AgentEffect, AgentEvent, CommandAnswer, CommandKind, HeartbeatIgnoreReason,
    IncarnationEnd, IncarnationSource, LostRun, WatchAnswer, WorkerCommand,
};
use health::{FinishedRun, Health};
use owner::Owner;
use past_incarnations::PastIncarnations;
use preempting::Preemptions;
pub use presence::MAX_PRESENCE_AGE;
pub use proof::EndProof;
use run_table::{RunState, RunTable};
use served_counts::ServedHistory;
pub use statement::HeartbeatTiming;
use worker::FenceToken;
use worker_state::{IncarnationNumber, WorkerState};

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Zone of the worker.
    pub zone: String,
    /// How long a graceful shutdown waits for runs to end.
    pub shutdown_timeout: Span,
    /// Timing of the worker's heartbeats, which decides how long its reported capacity is valid.
    pub heartbeats: HeartbeatTiming,
    /// Lower bound of the fencing tokens, exclusive: the wall-clock time of the agent's start,
    /// in milliseconds.
    pub token_floor: FenceToken,
    /// How runs are moved off a worker that announces its leaving; `None` if they stay.
    pub departures: Option<DeparturesPolicy>,
}

/// How runs are moved off a worker that announces its leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeparturesPolicy {
    /// Runs are moved only if at least this time remains until the worker leaves.
    pub min_notice: Span,
}

/// State machine of an agent.
#[derive(Debug)]
pub struct LeasedAgent {
    options: AgentOptions,
    worker: Option<WorkerState>,
    /// Number of the current incarnation, or of the latest one if there is none.
    incarnation_number: IncarnationNumber,
    /// Number of the current description of the worker.
    description: DescriptionNumber,
    /// Fencing token of the current incarnation, or of the latest one if there is none.
    token: FenceToken,
    past_incarnations: PastIncarnations,
    /// Worker id whose next incarnation may still carry out held starts: unanswered ones that
    /// were sent to an incarnation which has ended.
    held_worker_id: Option<Arc<str>>,
    runs: RunTable,
    /// Runs whose start command has neither been answered nor failed, whether or not they are still
    /// in `runs`.
    pending_starts: BTreeSet<RunId>,
    /// Requests to start tasks of which the worker has an earlier run.
    duplicates: Vec<DuplicateRequest>,
    health: Health,
    crash_history: CrashHistory,
    cancels: CancelLog,
    claims: HonoredClaims,
    /// Whether any stop takes longer than it may.
    has_overdue_stop: bool,
    evacuations: Evacuations,
    preemptions: Preemptions,
    owners: BTreeMap<Incarnation, Owner>,
    served: ServedHistory,
    /// Highest number of an end that was queued for a gateway forgotten since.
    last_forgotten_end: u64,
    sessions: BTreeMap<SessionId, Incarnation>,
    /// Number of the session that was opened last, to any gateway.
    last_session: u64,
    stopping_since: Option<Timestamp>,
    has_reported_stop: bool,
    last_flush: Timestamp,
    /// Since when the agent has run without being suspended.
    running_since: Timestamp,
}

impl LeasedAgent {
    /// An agent that has not heard from its worker.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            token: options.token_floor,
            options,
            worker: None,
            incarnation_number: IncarnationNumber::default(),
            description: DescriptionNumber::default(),
            past_incarnations: PastIncarnations::default(),
            held_worker_id: None,
            runs: RunTable::default(),
            pending_starts: BTreeSet::new(),
            duplicates: Vec::new(),
            health: Health::default(),
            crash_history: CrashHistory::default(),
            cancels: CancelLog::default(),
            claims: HonoredClaims::default(),
            has_overdue_stop: false,
            evacuations: Evacuations::default(),
            preemptions: Preemptions::default(),
            owners: BTreeMap::new(),
            served: ServedHistory::default(),
            last_forgotten_end: 0,
            sessions: BTreeMap::new(),
            last_session: 0,
            stopping_since: None,
            has_reported_stop: false,
            last_flush: Timestamp::default(),
            running_since: Timestamp::default(),
        }
    }

    /// Handles one event. Call [`LeasedAgent::flush`] after a batch of events.
    pub fn handle(&mut self, now: Timestamp, event: AgentEvent, effects: &mut Vec<AgentEffect>) {
        match event {
            AgentEvent::Opened { session, gateway } => {
                self.on_opened(now, session, gateway, effects)
            }
            AgentEvent::Closed { session } => self.on_closed(session),
            AgentEvent::GatewayEnded { gateway } => self.on_gateway_ended(now, gateway, effects),
            AgentEvent::Message { session, message } => {
                self.on_message(now, session, message, effects);
            }
            AgentEvent::Registered(registration) => self.on_registered(now, registration, effects),
            AgentEvent::RecordLoaded {
                registration,
                stated_at,
            } => self.on_record(now, registration, stated_at, effects),
            AgentEvent::Deregistration { id } => self.on_deregistration(now, &id, effects),
            AgentEvent::StartAnswered {
                run,
                incarnation,
                answer,
            } => {
                self.on_start_answered(now, run, &incarnation, answer, effects);
            }
            AgentEvent::StopAnswered {
                run,
                incarnation,
                answer,
            } => {
                self.on_stop_answered(now, run, &incarnation, answer, effects);
            }
            AgentEvent::Watched {
                incarnation,
                answer,
            } => self.on_watched(now, &incarnation, answer, effects),
            AgentEvent::Stop => {
                self.stopping_since.get_or_insert(now);
            }
            AgentEvent::Tick => {}
        }
    }

    /// Performs all actions that became due through events or the passing of time.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        self.detect_suspension(now);
        self.check_overdue_stops(now);
        self.log_stale_statement(now, effects);
        self.stop_runs_of_silent_owners(now, effects);
        self.close_silent_sessions(now, effects);
        self.end_expired_runs(now, effects);
        self.move_departing_runs(now, effects);
        self.finish_deregistration(now, effects);
        self.start_waiting(now, effects);
        self.return_waiting(now, effects);
        self.offer_resources(now, effects);
        self.preempt(now, effects);
        self.retry_stops(now, effects);
        self.watch(now, effects);
        self.finish_stop(now, effects);
        self.send_all(now, effects);
        self.end_presence_of_flush();
    }

    /// Number of runs that have not ended.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Resources that runs take at the worker.
    pub fn taken_resources(&self) -> Resources {
        self.runs.taken()
    }

    /// Whether the worker accepts tasks, regardless of its free resources.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let Some(worker) = &self.worker else {
            return false;
        };
        self.stopping_since.is_none()
            && !self.is_evacuated()
            && !self.has_overdue_stop
            && self.has_fresh_statement(now)
            && !worker.is_leaving()
            && !worker.has_possible_restart()
            && worker.has_synced
            && worker.orphans.is_empty()
            && worker.unanswered_watches == 0
    }

    /// Whether the worker's zone is evacuated, according to the latest revision received from
    /// any gateway.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.covers(&self.options.zone)
    }

    fn on_evacuations(&mut self, update: Evacuations, effects: &mut Vec<AgentEffect>) {
        let was_evacuated = self.is_evacuated();
        self.evacuations.update(update);
        let is_evacuated = self.is_evacuated();
        if is_evacuated != was_evacuated {
            effects.push(AgentEffect::Decided(AgentDecision::Evacuated {
                is_evacuated,
                revision: self.evacuations.revision,
            }));
        }
    }

    /// Removes a run of which nothing executes any more, and reports its end to its gateway.
    fn end_run(
        &mut self,
        now: Timestamp,
        task: TaskId,
        how: EndKind,
        proof: EndProof,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.runs.remove(task) else {
            return;
        };
        let id = RunId {
            task,
            run: run.number,
        };
        if how != EndKind::Done {
            effects.push(AgentEffect::Decided(AgentDecision::Ended {
                run: id,
                how,
                proof,
            }));
        }
        self.charge_time_to_stop(now, &run);
        let checkpoint = self.checkpoint_of_end(&run, how);
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.push_end(id, how, checkpoint);
        }
        self.answer_duplicates(task, how, effects);
        if let (EndKind::Done, RunState::Running { .. }, Some(worker)) =
            (how, run.state, &self.worker)
        {
            let elapsed = worker.clock.at(now).since(run.started);
            // The time of a resumed run says nothing about the worker's pace.
            let estimate = if run.is_resumed {
                elapsed
            } else {
                run.estimate
            };
            let finished = FinishedRun {
                job: task.job,
                sent: run.sent,
                elapsed,
                estimate,
            };
            self.health.on_done(now, &finished);
        }
    }

    fn send_command(&mut self, kind: CommandKind, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &self.worker else {
            return;
        };
        effects.push(AgentEffect::Command(WorkerCommand {
            incarnation: worker.incarnation.clone(),
            token: worker.token,
            kind,
        }));
    }
}
