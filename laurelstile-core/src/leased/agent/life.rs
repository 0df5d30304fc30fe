//! The worker's present life, and how it begins.

use std::collections::BTreeMap;

use laurelstile_types::time::Timestamp;

use super::super::crashes::CrashedTask;
use super::super::resources::Resources;
use super::super::task::RunId;
use super::super::worker_incarnation::WorkerIncarnation;
use super::deregistration::Deregistration;
use super::health::Health;
use super::lives::Challenger;
use super::room_knowledge::RoomKnowledge;
use super::worker::{ClockEstimate, FenceToken, KnownLife, Registration, WorkerClock};
use super::{AgentDecision, AgentEffect, LeasedAgent, LifeSource};

/// Number of a life, among those that an agent has followed. Runs are marked with that of the
/// life to which their starts were sent: the next life may have the same id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LifeNumber(u64);

/// The worker's present life.
#[derive(Debug)]
pub struct Life {
    /// Its name.
    pub name: WorkerIncarnation,
    /// Its number.
    pub number: LifeNumber,
    /// How it became known.
    pub source: LifeSource,
    /// The service that it serves.
    pub service: String,
    /// When a heartbeat last named it.
    pub service_heard: Timestamp,
    /// Its room.
    pub capacity: Resources,
    /// The least that it has been.
    pub least_capacity: Resources,
    /// Whether that is less than what it said first.
    pub has_shrunk: bool,
    /// Number of the latest heartbeat.
    pub sequence: u64,
    /// Its labels.
    pub labels: Vec<String>,
    /// The token of orders for it.
    pub token: FenceToken,
    /// Orders that it has fenced off.
    pub fenced: u32,
    /// Whether it has said that it leaves.
    pub draining: bool,
    /// Its clock.
    pub clock: ClockEstimate,
    /// Highest number of an end that was taken in.
    pub last_seen: u64,
    /// Highest that the latest watch told it of.
    pub told_seen: u64,
    /// Highest that it is known to have been told of.
    pub acknowledged: u64,
    /// Lists have come in this life.
    pub has_synced: bool,
    /// Whether the log was told that it is under control.
    pub told_in_control: bool,
    /// Watches in a row without an answer.
    pub unanswered_watches: u32,
    /// When the watch that is under way was sent.
    pub watching: Option<Timestamp>,
    /// No watch is sent before this time.
    pub watch_from: Timestamp,
    /// When the lease was last renewed.
    pub renewed: Timestamp,
    /// Runs at the worker that this agent did not start, with the time of the
    /// last stop that was sent.
    pub foreign: BTreeMap<RunId, Timestamp>,
    /// Ends to be acknowledged to the worker.
    pub has_news: bool,
    /// Tasks that it had begun when it fell silent for so long that they have lapsed. It
    /// may have crashed then, or be cut off.
    pub lapsed: Vec<CrashedTask>,
    /// Another life that has registered since.
    pub challenger: Option<Challenger>,
    /// Its word that it ends, once it has said that.
    pub deregistration: Option<Deregistration>,
}

impl Life {
    /// Whether it is about to end, as far as it has said: its process may close its door and run
    /// on for a while.
    pub fn is_leaving(&self) -> bool {
        self.draining || self.deregistration.is_some()
    }

    /// What a later agent must know of it.
    pub fn known(&self, now: Timestamp) -> KnownLife {
        let registration = Registration {
            life: self.name.clone(),
            service: self.service.clone(),
            capacity: self.least_capacity,
            labels: self.labels.clone(),
            clock: self.clock.at(now),
            draining: self.draining,
            sequence: self.sequence,
        };
        KnownLife {
            registration,
            is_vital: self.draining || self.has_shrunk,
        }
    }
}

impl LeasedAgent {
    /// A life that the worker itself has told of begins.
    pub(super) fn begin_registered_life(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.begin_life(now, registration, LifeSource::Heartbeat, effects);
        let times = self.options.heartbeats;
        self.room_knowledge.on_heartbeat(now, times);
        self.remember(now, effects);
    }

    /// Begins a life of which nothing runs as yet. Runs of before that are still in the ledger
    /// are judged by its lists.
    pub(super) fn begin_life(
        &mut self,
        now: Timestamp,
        registration: Registration,
        source: LifeSource,
        effects: &mut Vec<AgentEffect>,
    ) {
        self.past_lives.forget(&registration.life);
        self.life_number.0 += 1;
        self.token = FenceToken(self.token.0 + 1);
        if source == LifeSource::Lists {
            self.room_knowledge = RoomKnowledge::default();
        }
        effects.push(AgentEffect::Decided(AgentDecision::LifeBegan {
            life: registration.life.clone(),
            source,
            draining: registration.draining,
        }));
        let mut clock = ClockEstimate::default();
        clock.update(now, registration.clock);
        self.life = Some(Life {
            name: registration.life,
            number: self.life_number,
            source,
            service: registration.service,
            service_heard: now,
            capacity: registration.capacity,
            least_capacity: registration.capacity,
            has_shrunk: false,
            sequence: registration.sequence,
            labels: registration.labels,
            token: self.token,
            fenced: 0,
            draining: registration.draining,
            clock,
            last_seen: 0,
            told_seen: 0,
            acknowledged: 0,
            has_synced: false,
            told_in_control: false,
            unanswered_watches: 0,
            watching: None,
            watch_from: now,
            renewed: now,
            foreign: BTreeMap::new(),
            has_news: false,
            lapsed: Vec::new(),
            challenger: None,
            deregistration: None,
        });
        self.health = Health::default();
        self.renew_snapshots();
        self.stop_held_starts(now);
    }

    /// Has gateways told anew what the worker is.
    pub(super) fn renew_snapshots(&mut self) {
        for owner in self.owners.values_mut() {
            owner.has_snapshot = false;
        }
    }

    /// Leaves word of the present life for a later agent.
    pub(super) fn remember(&self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        if let Some(life) = &self.life {
            effects.push(AgentEffect::Remember(life.known(now)));
        }
    }

    pub(super) fn is_present(&self, name: &WorkerIncarnation) -> bool {
        self.life.as_ref().is_some_and(|life| life.name == *name)
    }

    /// All the room of the worker; none while no life of it is known.
    pub(super) fn capacity(&self) -> Resources {
        let life = self.life.as_ref();
        life.map(|life| life.capacity).unwrap_or_default()
    }

    /// The worker's clock at `now`; zero while no life of it is known.
    pub(super) fn worker_clock(&self, now: Timestamp) -> WorkerClock {
        let life = self.life.as_ref();
        life.map_or(WorkerClock::default(), |life| life.clock.at(now))
    }
}
