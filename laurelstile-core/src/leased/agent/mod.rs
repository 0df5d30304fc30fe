//! The agent beside a leased worker. It alone gives the worker orders, so it
//! alone decides what starts; it renews the leases of what runs, and ends what
//! nobody answers for.

mod crash_memory;
mod deregistration;
pub mod events;
mod health;
mod lease;
mod ledger;
mod life;
mod life_end;
mod lives;
mod offers;
mod outgoing;
mod owner;
mod past_lives;
mod progress;
pub mod proof;
mod room_knowledge;
mod sessions;
mod silence;
mod starting;
mod stopping;
mod watching;
pub mod worker;

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::evacuation::Evacuations;
use super::messages::{EndKind, NotStartedReason};
use super::resources::Resources;
use super::task::{RunId, TaskId};
use crate::session::SessionId;
use crash_memory::CrashMemory;
pub use events::{
    AgentDecision, AgentEffect, AgentEvent, IgnoredHeartbeat, LifeEnd, LifeSource, LostRun, Order,
    OrderAnswer, OrderKind, WatchAnswer,
};
use health::{FinishedRun, Health};
use ledger::{Ledger, RunState};
use life::{Life, LifeNumber};
use owner::Owner;
use past_lives::PastLives;
use proof::EndProof;
pub use room_knowledge::HeartbeatTimes;
use room_knowledge::RoomKnowledge;
use worker::FenceToken;

/// Settings of an agent's machine.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Zone of the worker.
    pub zone: String,
    /// How long a planned stop may wait for runs.
    pub stop_patience: Span,
    /// How the worker's word about itself ages.
    pub heartbeats: HeartbeatTimes,
    /// Tokens of orders are above this: the time of day at which the agent started, in
    /// milliseconds.
    pub token_floor: FenceToken,
}

/// The agent's machine.
#[derive(Debug)]
pub struct LeasedAgent {
    options: AgentOptions,
    life: Option<Life>,
    /// Number of the present life, or of the last.
    life_number: LifeNumber,
    /// Token of the present life, or of the last.
    token: FenceToken,
    past_lives: PastLives,
    /// Id of the life whose end has left starts that may yet be carried out.
    held_id: Option<Arc<str>>,
    ledger: Ledger,
    health: Health,
    crash_memory: CrashMemory,
    /// Until when the room of the present life may be relied on.
    room_knowledge: RoomKnowledge,
    /// Whether a stop of a run takes longer than a stop may.
    has_overdue_stop: bool,
    evacuations: Evacuations,
    owners: BTreeMap<Incarnation, Owner>,
    sessions: BTreeMap<SessionId, Incarnation>,
    stopping_since: Option<Timestamp>,
    stop_reported: bool,
    last_flush: Timestamp,
    /// Since when the agent has run without standing still.
    awake_since: Timestamp,
}

impl LeasedAgent {
    /// An agent that has not heard of its worker.
    pub fn new(options: AgentOptions) -> Self {
        Self {
            token: options.token_floor,
            options,
            life: None,
            life_number: LifeNumber::default(),
            past_lives: PastLives::default(),
            held_id: None,
            ledger: Ledger::default(),
            health: Health::default(),
            crash_memory: CrashMemory::default(),
            room_knowledge: RoomKnowledge::default(),
            has_overdue_stop: false,
            evacuations: Evacuations::default(),
            owners: BTreeMap::new(),
            sessions: BTreeMap::new(),
            stopping_since: None,
            stop_reported: false,
            last_flush: Timestamp::default(),
            awake_since: Timestamp::default(),
        }
    }

    /// Takes in one event. Call [`LeasedAgent::flush`] after a batch of events.
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
            AgentEvent::Recalled(registration) => self.on_recalled(now, registration, effects),
            AgentEvent::Deregistration { id } => self.on_deregistration(now, &id, effects),
            AgentEvent::StartAnswered { run, life, answer } => {
                self.on_start_answered(now, run, &life, answer, effects);
            }
            AgentEvent::StopAnswered { run, life, answer } => {
                self.on_stop_answered(now, run, &life, answer, effects);
            }
            AgentEvent::Watched { life, answer } => self.on_watched(now, &life, answer, effects),
            AgentEvent::Stop => {
                self.stopping_since.get_or_insert(now);
            }
            AgentEvent::Tick => {}
        }
    }

    /// Does what the events since the last flush, or time, gave rise to.
    pub fn flush(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        self.note_awake(now);
        self.note_overdue_stops(now);
        self.tell_aged_room(now, effects);
        self.end_silent_owners(now, effects);
        self.close_silent_sessions(now, effects);
        self.end_lapsed(now, effects);
        self.finish_deregistration(now, effects);
        self.start_waiting(now, effects);
        self.end_waits(now, effects);
        self.offer_room(now, effects);
        self.repeat_stops(now, effects);
        self.watch(now, effects);
        self.finish_stop(now, effects);
        self.send_all(now, effects);
    }

    /// Runs that have not ended.
    pub fn run_count(&self) -> usize {
        self.ledger.len()
    }

    /// Room that runs take at the worker.
    pub fn taken_room(&self) -> Resources {
        self.ledger.taken()
    }

    /// Whether the worker may be given tasks, apart from its room.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let Some(life) = &self.life else {
            return false;
        };
        self.stopping_since.is_none()
            && !self.is_evacuated()
            && !self.has_overdue_stop
            && self.room_knowledge.is_good(now)
            && !life.is_leaving()
            && !life.has_namesake()
            && life.has_synced
            && life.foreign.is_empty()
            && life.unanswered_watches == 0
    }

    /// Whether the worker's zone is evacuated, as far as any gateway has told.
    pub fn is_evacuated(&self) -> bool {
        self.evacuations.covers(&self.options.zone)
    }

    fn on_evacuations(&mut self, news: Evacuations, effects: &mut Vec<AgentEffect>) {
        let was_evacuated = self.is_evacuated();
        self.evacuations.update(news);
        let is_evacuated = self.is_evacuated();
        if is_evacuated != was_evacuated {
            effects.push(AgentEffect::Decided(AgentDecision::Evacuated {
                is_evacuated,
                revision: self.evacuations.revision,
            }));
        }
    }

    /// Takes a run out: nothing of it runs any more.
    fn end_run(
        &mut self,
        now: Timestamp,
        task: TaskId,
        how: EndKind,
        proof: EndProof,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(run) = self.ledger.remove(task) else {
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
        if let Some(owner) = self.owners.get_mut(&run.owner) {
            owner.push_end(id, how);
        }
        if let (EndKind::Done, RunState::Running { .. }, Some(life)) = (how, run.state, &self.life)
        {
            let finished = FinishedRun {
                job: task.job,
                sent: run.sent,
                elapsed: life.clock.at(now).since(run.started),
                estimate: run.estimate,
            };
            self.health.on_done(now, &finished);
        }
    }

    fn order(&mut self, kind: OrderKind, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &self.life else {
            return;
        };
        effects.push(AgentEffect::Order(Order {
            life: life.name.clone(),
            token: life.token,
            kind,
        }));
    }
}
