//! What the worker says of its lives: which is present, and which word is late.

use laurelstile_types::time::{Span, Timestamp};

use super::super::worker_incarnation::StartTime;
use super::life::Life;
use super::worker::Registration;
use super::{AgentDecision, AgentEffect, IgnoredHeartbeat, LeasedAgent, LifeEnd, LifeSource};

/// A life that has registered while another was present.
#[derive(Debug)]
pub struct Challenger {
    pub(super) registration: Registration,
    /// When it first did.
    pub(super) since: Timestamp,
}

impl LeasedAgent {
    pub(super) fn on_registered(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(reason) = self.reason_to_ignore(now, &registration) {
            ignore_heartbeat(registration, reason, effects);
        } else if self.is_present(&registration.life) {
            self.heed_heartbeat(now, registration, effects);
        } else if self.life.is_some() {
            self.challenge(now, registration);
        } else {
            self.begin_registered_life(now, registration, effects);
        }
    }

    /// Why a heartbeat is not that of a life to be used, if it is not. A life that has ended is
    /// ignored only while another is present: else the worker was thought dead and is not.
    fn reason_to_ignore(
        &self,
        now: Timestamp,
        registration: &Registration,
    ) -> Option<IgnoredHeartbeat> {
        let name = &registration.life;
        if self.past_lives.is_leaving(now, name) {
            return Some(IgnoredHeartbeat::DeregisteredLife);
        }
        let life = self.life.as_ref()?;
        if life.name == *name {
            let is_other = life.service != registration.service;
            let is_held = now.since(life.service_heard) <= self.service_is_held_for();
            return (is_other && is_held).then_some(IgnoredHeartbeat::OtherService);
        }
        if life.name.id == name.id && name.started_at.is_none() {
            return Some(IgnoredHeartbeat::NoBirth);
        }
        let has_ended = self.past_lives.contains(name);
        has_ended.then_some(IgnoredHeartbeat::EndedLife)
    }

    /// For how long after a heartbeat that names a life's service one that names another is held
    /// for another writer's: two heartbeats, so that the worker's own word prevails. A life that
    /// follows another under its id is expected to serve what that served.
    fn service_is_held_for(&self) -> Span {
        Span(self.options.heartbeats.interval.0 * 2)
    }

    /// Takes in what the present life says of itself.
    fn heed_heartbeat(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(life) = &mut self.life else {
            return;
        };
        life.clock.update(now, registration.clock);
        life.service_heard = now;
        let is_first = life.source == LifeSource::Lists;
        if is_first {
            life.source = LifeSource::Heartbeat;
            life.labels.clone_from(&registration.labels);
            life.least_capacity = registration.capacity;
        }
        let is_late = registration.sequence < life.sequence;
        let has_other_service = life.service != registration.service;
        life.service.clone_from(&registration.service);
        let begins_to_drain = registration.draining && !life.draining;
        if begins_to_drain {
            life.draining = true;
            let life = life.name.clone();
            effects.push(AgentEffect::Decided(AgentDecision::Draining { life }));
        }
        let has_shrunk = !is_late && self.take_capacity(&registration, effects);
        if !is_late {
            let times = self.options.heartbeats;
            self.room_knowledge.on_heartbeat(now, times);
            self.judge_deregistration(now, registration.draining, effects);
        }
        if is_first || has_other_service {
            self.renew_snapshots();
        }
        if is_first || has_other_service || begins_to_drain || has_shrunk {
            self.remember(now, effects);
        }
    }

    /// The worker says, in a heartbeat that is not late, how much room it has. What runs there
    /// goes on, but nothing starts beyond it; gateways are told what the worker is now. Gives
    /// whether this life has never had so little.
    fn take_capacity(
        &mut self,
        registration: &Registration,
        effects: &mut Vec<AgentEffect>,
    ) -> bool {
        let Some(life) = &mut self.life else {
            return false;
        };
        life.sequence = registration.sequence;
        let capacity = registration.capacity;
        if capacity == life.capacity {
            return false;
        }
        effects.push(AgentEffect::Decided(AgentDecision::CapacityChanged {
            life: life.name.clone(),
            before: life.capacity,
            now: capacity,
        }));
        life.capacity = capacity;
        let least = capacity.min(life.least_capacity);
        let has_shrunk = least != life.least_capacity;
        life.least_capacity = least;
        life.has_shrunk |= has_shrunk;
        self.renew_snapshots();
        has_shrunk
    }

    /// Another life than the present one has registered. Either the present one is over,
    /// or a cut has held back a heartbeat of a life that ended before it. Its name does
    /// not tell, but the worker does: it answers no order for a life of another id, and names its
    /// birth in its lists. So the present life is asked before its runs, which may well go on,
    /// are given up.
    fn challenge(&mut self, now: Timestamp, registration: Registration) {
        let Some(life) = &mut self.life else {
            return;
        };
        let known = life.challenger.take();
        let known = known.filter(|known| known.registration.life == registration.life);
        let was_draining = known
            .as_ref()
            .is_some_and(|known| known.registration.draining);
        let draining = registration.draining || was_draining;
        life.challenger = Some(Challenger {
            registration: Registration {
                draining,
                ..registration
            },
            since: known.map_or(now, |known| known.since),
        });
        life.watch_from = now;
    }

    /// The present life has answered what it was asked at `asked`: whoever had registered
    /// before that, instead of it, has ended.
    pub(super) fn dismiss_challenger(&mut self, asked: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(life) = &mut self.life else {
            return;
        };
        let is_earlier = |challenger: &mut Challenger| challenger.since < asked;
        let Some(challenger) = life.challenger.take_if(is_earlier) else {
            return;
        };
        let late = challenger.registration.life;
        effects.push(AgentEffect::Decided(AgentDecision::LateHeartbeat {
            life: late.clone(),
            present: life.name.clone(),
        }));
        self.past_lives.note_ended(late);
    }

    /// Gives the present life up if it has let its runs lapse and another has registered.
    pub(super) fn give_way(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let challenged = self.life.as_ref().filter(|life| life.challenger.is_some());
        if let Some(name) = challenged.map(|life| life.name.clone()) {
            self.on_life_over(now, &name, LifeEnd::Replaced, effects);
        }
    }

    /// Tries the worker as an earlier agent knew it, without waiting for its
    /// next heartbeat. The clock in the record is old.
    pub(super) fn on_recalled(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self.life.is_none() && !self.past_lives.contains(&registration.life) {
            self.begin_life(now, registration, LifeSource::Record, effects);
        }
    }

    /// A gateway tells how long ago it heard an earlier agent here. What that one knew of
    /// the worker is what was recalled.
    pub(super) fn on_predecessor(&mut self, now: Timestamp, silence: Span) {
        let is_unheard = |life: &Life| life.source == LifeSource::Lists;
        if !self.life.as_ref().is_some_and(is_unheard) {
            let times = self.options.heartbeats;
            self.room_knowledge.on_predecessor(now, silence, times);
        }
    }
}

impl Life {
    /// Whether a start of the worker under its own id has registered, and it is not known yet
    /// which of the two is there.
    pub(super) fn has_namesake(&self) -> bool {
        let challenger = self.challenger.as_ref();
        challenger.is_some_and(|challenger| challenger.registration.life.id == self.name.id)
    }

    /// The birth of the life that has answered, under this life's id, what was asked at `asked`,
    /// if that is another than this one. Where this life tells no birth, a heartbeat must have
    /// told that of the answer. An answer without a birth leaves the later to be there.
    pub(super) fn other_birth(
        &self,
        asked: Timestamp,
        answered: Option<StartTime>,
    ) -> Option<StartTime> {
        if self.name.is_other_incarnation(answered) {
            return answered;
        }
        let challenger = self.challenger.as_ref()?;
        let claimed = challenger.registration.life.started_at;
        let is_there = match answered {
            Some(_) => claimed == answered && claimed != self.name.started_at,
            None => challenger.since < asked && claimed > self.name.started_at,
        };
        claimed.filter(|_| is_there && self.has_namesake())
    }
}

/// Notes for the log that nothing of what a heartbeat says is heeded.
fn ignore_heartbeat(
    registration: Registration,
    reason: IgnoredHeartbeat,
    effects: &mut Vec<AgentEffect>,
) {
    effects.push(AgentEffect::Decided(AgentDecision::HeartbeatIgnored {
        life: registration.life,
        reason,
        draining: registration.draining,
        sequence: registration.sequence,
    }));
}
