//! What the worker says of its lives: which is present, and which word is late.

use laurelstile_types::time::{Span, Timestamp};

use super::super::life_name::Born;
use super::life::WorkerState;
use super::worker::Registration;
use super::{AgentDecision, AgentEffect, IgnoredHeartbeat, LeasedAgent, LifeEnd, LifeSource};

/// A life that has registered while another was present.
#[derive(Debug)]
pub struct SuccessorCandidate {
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
        if let Some(reason) = self.ignore_reason(now, &registration) {
            ignore_heartbeat(registration, reason, effects);
        } else if self.is_current(&registration.life) {
            self.apply_heartbeat(now, registration, effects);
        } else if self.worker.is_some() {
            self.set_successor(now, registration);
        } else {
            self.start_registered_incarnation(now, registration, effects);
        }
    }

    /// Why a heartbeat is not that of a life to be used, if it is not. A life that has ended is
    /// ignored only while another is present: else the worker was thought dead and is not.
    fn ignore_reason(
        &self,
        now: Timestamp,
        registration: &Registration,
    ) -> Option<IgnoredHeartbeat> {
        let name = &registration.life;
        if self.past_incarnations.is_leaving(now, name) {
            return Some(IgnoredHeartbeat::DeregisteredLife);
        }
        let worker = self.worker.as_ref()?;
        if worker.name == *name {
            let is_other = worker.service != registration.service;
            let is_held = now.since(worker.service_confirmed_at) <= self.service_retention();
            return (is_other && is_held).then_some(IgnoredHeartbeat::OtherService);
        }
        if worker.name.id == name.id && name.born.is_none() {
            return Some(IgnoredHeartbeat::NoBirth);
        }
        let has_ended = self.past_incarnations.contains(name);
        has_ended.then_some(IgnoredHeartbeat::EndedLife)
    }

    /// For how long after a heartbeat that names a life's service one that names another is held
    /// for another writer's: two heartbeats, so that the worker's own word prevails. A life that
    /// follows another under its id is expected to serve what that served.
    fn service_retention(&self) -> Span {
        Span(self.options.heartbeats.interval.0 * 2)
    }

    /// Takes in what the present life says of itself.
    fn apply_heartbeat(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.clock.update(now, registration.clock);
        worker.service_confirmed_at = now;
        let is_first = worker.source == LifeSource::Lists;
        if is_first {
            worker.source = LifeSource::Heartbeat;
            worker.labels.clone_from(&registration.labels);
            worker.least_capacity = registration.capacity;
        }
        let is_late = registration.sequence < worker.sequence;
        let has_other_service = worker.service != registration.service;
        worker.service.clone_from(&registration.service);
        let begins_to_drain = registration.draining && !worker.draining;
        if begins_to_drain {
            worker.draining = true;
            let life = worker.name.clone();
            effects.push(AgentEffect::Decided(AgentDecision::Draining { life }));
        }
        let has_shrunk = !is_late && self.apply_capacity(&registration, effects);
        if !is_late {
            let times = self.options.heartbeats;
            self.capacity_freshness.on_heartbeat(now, times);
            self.resolve_deregistration(now, registration.draining, effects);
        }
        if is_first || has_other_service {
            self.invalidate_snapshots();
        }
        if is_first || has_other_service || begins_to_drain || has_shrunk {
            self.persist_record(now, effects);
        }
    }

    /// The worker says, in a heartbeat that is not late, how much room it has. What runs there
    /// goes on, but nothing starts beyond it; gateways are told what the worker is now. Gives
    /// whether this life has never had so little.
    fn apply_capacity(
        &mut self,
        registration: &Registration,
        effects: &mut Vec<AgentEffect>,
    ) -> bool {
        let Some(worker) = &mut self.worker else {
            return false;
        };
        worker.sequence = registration.sequence;
        let capacity = registration.capacity;
        if capacity == worker.capacity {
            return false;
        }
        effects.push(AgentEffect::Decided(AgentDecision::CapacityChanged {
            life: worker.name.clone(),
            before: worker.capacity,
            now: capacity,
        }));
        worker.capacity = capacity;
        let least = capacity.least(worker.least_capacity);
        let has_shrunk = least != worker.least_capacity;
        worker.least_capacity = least;
        worker.has_shrunk |= has_shrunk;
        self.invalidate_snapshots();
        has_shrunk
    }

    /// Another life than the present one has registered. Either the present one is over,
    /// or a cut has held back a heartbeat of a life that ended before it. Its name does
    /// not tell, but the worker does: it answers no order for a life of another id, and names its
    /// birth in its lists. So the present life is asked before its runs, which may well go on,
    /// are given up.
    fn set_successor(&mut self, now: Timestamp, registration: Registration) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let known = worker.successor.take();
        let known = known.filter(|known| known.registration.life == registration.life);
        let was_draining = known
            .as_ref()
            .is_some_and(|known| known.registration.draining);
        let draining = registration.draining || was_draining;
        worker.successor = Some(SuccessorCandidate {
            registration: Registration {
                draining,
                ..registration
            },
            since: known.map_or(now, |known| known.since),
        });
        worker.watch_from = now;
    }

    /// The present life has answered what it was asked at `asked`: whoever had registered
    /// before that, instead of it, has ended.
    pub(super) fn dismiss_successor(&mut self, asked: Timestamp, effects: &mut Vec<AgentEffect>) {
        let Some(worker) = &mut self.worker else {
            return;
        };
        let is_earlier = |successor: &mut SuccessorCandidate| successor.since < asked;
        let Some(successor) = worker.successor.take_if(is_earlier) else {
            return;
        };
        let late = successor.registration.life;
        effects.push(AgentEffect::Decided(AgentDecision::LateHeartbeat {
            life: late.clone(),
            present: worker.name.clone(),
        }));
        self.past_incarnations.note_ended(late);
    }

    /// Gives the present life up if it has let its runs lapse and another has registered.
    pub(super) fn replace_expired_incarnation(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
        let challenged = self
            .worker
            .as_ref()
            .filter(|worker| worker.successor.is_some());
        if let Some(name) = challenged.map(|worker| worker.name.clone()) {
            self.on_incarnation_ended(now, &name, LifeEnd::Replaced, effects);
        }
    }

    /// Tries the worker as an earlier agent knew it, without waiting for its
    /// next heartbeat. The clock in the record is old.
    pub(super) fn on_record_loaded(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self.worker.is_none() && !self.past_incarnations.contains(&registration.life) {
            self.start_incarnation(now, registration, LifeSource::Record, effects);
        }
    }

    /// A gateway tells how long ago it heard an earlier agent here. What that one knew of
    /// the worker is what was recalled.
    pub(super) fn on_predecessor(&mut self, now: Timestamp, silence: Span) {
        let is_unheard = |worker: &WorkerState| worker.source == LifeSource::Lists;
        if !self.worker.as_ref().is_some_and(is_unheard) {
            let times = self.options.heartbeats;
            self.capacity_freshness.on_predecessor(now, silence, times);
        }
    }
}

impl WorkerState {
    /// Whether a start of the worker under its own id has registered, and it is not known yet
    /// which of the two is there.
    pub(super) fn has_possible_restart(&self) -> bool {
        let successor = self.successor.as_ref();
        successor.is_some_and(|successor| successor.registration.life.id == self.name.id)
    }

    /// The birth of the life that has answered, under this life's id, what was asked at `asked`,
    /// if that is another than this one. Where this life tells no birth, a heartbeat must have
    /// told that of the answer. An answer without a birth leaves the later to be there.
    pub(super) fn detected_restart(
        &self,
        asked: Timestamp,
        answered: Option<Born>,
    ) -> Option<Born> {
        if self.name.is_other_birth(answered) {
            return answered;
        }
        let successor = self.successor.as_ref()?;
        let claimed = successor.registration.life.born;
        let is_there = match answered {
            Some(_) => claimed == answered && claimed != self.name.born,
            None => successor.since < asked && claimed > self.name.born,
        };
        claimed.filter(|_| is_there && self.has_possible_restart())
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
