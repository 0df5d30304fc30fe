//! The lives of the worker: registered, recalled, over.

use std::collections::BTreeMap;
use std::sync::Arc;

use laurelstile_types::time::Timestamp;

use super::super::messages::EndKind;
use super::super::room::Room;
use super::super::timing::LEASE;
use super::health::Health;
use super::worker::{ClockEstimate, FenceToken, Registration, WorkerClock};
use super::{AgentDecision, AgentEffect, LeasedAgent, Life};

impl LeasedAgent {
    pub(super) fn on_registered(
        &mut self,
        now: Timestamp,
        registration: Registration,
        effects: &mut Vec<AgentEffect>,
    ) {
        // A late word of an ended life; but if no other life has come since, the
        // worker was thought dead and is not.
        if self.life.is_some() && self.ended_lives.contains(&registration.life) {
            return;
        }
        if let Some(life) = &mut self.life
            && *life.name == *registration.life
        {
            life.clock.update(now, registration.clock);
            life.take_token(now);
            if registration.draining && !life.draining {
                life.draining = true;
                let name = Arc::clone(&life.name);
                effects.push(AgentEffect::Decided(AgentDecision::Draining { life: name }));
            }
            return;
        }
        if let Some(old) = self.life.as_ref().map(|life| Arc::clone(&life.name)) {
            self.on_life_over(now, &old, effects);
        }
        self.begin_life(now, registration);
        if let Some(life) = &mut self.life {
            life.take_token(now);
        }
    }

    /// Tries the worker as an earlier agent knew it, without waiting for its
    /// next heartbeat. The clock in the record is old: the token, which must be
    /// above that of the earlier agent, is taken from the first answer.
    pub(super) fn on_recalled(&mut self, now: Timestamp, registration: Registration) {
        if self.life.is_none() && !self.ended_lives.contains(&registration.life) {
            self.begin_life(now, registration);
        }
    }

    pub(super) fn begin_life(&mut self, now: Timestamp, registration: Registration) {
        let mut clock = ClockEstimate::default();
        clock.update(now, registration.clock);
        self.life = Some(Life {
            name: registration.life.into(),
            service: registration.service,
            capacity: registration.capacity,
            labels: registration.labels,
            token: FenceToken::default(),
            lacks_token: true,
            draining: registration.draining,
            clock,
            last_seen: 0,
            has_synced: false,
            told_in_control: false,
            unanswered_watches: 0,
            watching: None,
            watch_from: now,
            renewed: now,
            foreign: BTreeMap::new(),
            has_news: false,
        });
        self.health = Health::default();
        for owner in self.owners.values_mut() {
            owner.has_snapshot = false;
        }
    }

    /// A life of the worker is over: all that it ran has ended.
    pub(super) fn on_life_over(
        &mut self,
        now: Timestamp,
        life: &str,
        effects: &mut Vec<AgentEffect>,
    ) {
        if self
            .life
            .as_ref()
            .is_none_or(|present| *present.name != *life)
        {
            return;
        }
        let Some(present) = self.life.take() else {
            return;
        };
        let tasks = self.ledger.tasks_where(|_| true);
        effects.push(AgentEffect::Decided(AgentDecision::LifeOver {
            life: present.name,
            runs: tasks.len(),
        }));
        for task in tasks {
            self.end_run(now, task, EndKind::Lost, effects);
        }
        self.ended_lives.insert(life.to_owned());
    }

    pub(super) fn is_present(&self, life: &str) -> bool {
        self.life
            .as_ref()
            .is_some_and(|present| *present.name == *life)
    }

    /// All the room of the worker; none while no life of it is known.
    pub(super) fn capacity(&self) -> Room {
        let life = self.life.as_ref();
        life.map(|life| life.capacity).unwrap_or_default()
    }

    /// The worker's clock at `now`; zero while no life of it is known.
    pub(super) fn worker_clock(&self, now: Timestamp) -> WorkerClock {
        let life = self.life.as_ref();
        life.map_or(WorkerClock::default(), |life| life.clock.at(now))
    }

    pub(super) fn lease_until(&self, now: Timestamp) -> WorkerClock {
        let clock = self.worker_clock(now);
        WorkerClock(clock.0 + LEASE.0 / 1_000)
    }
}
