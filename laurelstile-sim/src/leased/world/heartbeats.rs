//! What workers tell their agents of themselves, and what is seen of them.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::Registration;
use laurelstile_core::leased::resources::Resources;
use laurelstile_core::leased::worker_incarnation::StartTime;
use laurelstile_history::leased::Seen;

use super::super::faults::{OtherWord, Sabotage};
use super::super::nodes;
use super::super::worker::Change;
use super::{HEARTBEAT, Happening, World};

/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_PATIENCE: u64 = 1_000_000;

impl World {
    pub(super) fn heartbeat(&mut self, worker: usize, life: u64) {
        if self.workers[worker].life != life {
            return;
        }
        self.schedule(self.now + HEARTBEAT, Happening::Heartbeat(worker, life));
        self.tell_agent(worker);
    }

    pub(super) fn repeat_heartbeat(&mut self, worker: usize, life: u64) {
        if self.workers[worker].life == life {
            self.tell_agent(worker);
        }
    }

    /// What a worker says of itself.
    pub(super) fn registration(&self, worker: usize) -> Registration {
        let state = &self.workers[worker];
        let is_hidden = self.sabotage == Some(Sabotage::NoDrains);
        let capacity = if self.sabotage == Some(Sabotage::NoCapacityNews) {
            state.full_capacity
        } else {
            state.capacity
        };
        Registration {
            incarnation: state.worker_incarnation(),
            service: nodes::SERVICE.into(),
            capacity: Resources {
                cpu_millis: capacity,
                memory_mib: 0,
                gpus: 0,
            },
            labels: state.labels(),
            clock: state.clock(self.now),
            draining: state.draining && !is_hidden,
            sequence: state.sequence(self.now),
            remaining: None,
        }
    }

    /// Another writer sends a heartbeat to the agent beside a worker.
    pub(super) fn other_writer(&mut self, worker: usize, word: OtherWord) {
        if self.is_deaf(worker) || self.workers[worker].id.is_empty() {
            return;
        }
        let mut registration = self.registration(worker);
        registration.capacity.cpu_millis /= 8;
        registration.draining = true;
        match word {
            OtherWord::NoBirth => registration.incarnation.started_at = None,
            OtherWord::Service => registration.service = "nowhere".into(),
            OtherWord::Birth => {
                let started_at = registration.incarnation.started_at.unwrap_or(StartTime(0));
                registration.incarnation.started_at = Some(StartTime(started_at.0 + 1));
            }
            OtherWord::Id => registration.incarnation.id = "other".into(),
        }
        self.agent_event(worker, AgentEvent::Registered(registration));
    }

    /// Whether the agent beside a worker takes nothing in now.
    pub(super) fn is_deaf(&self, worker: usize) -> bool {
        let agent = &self.agents[worker];
        !agent.is_up || agent.frozen_until > self.now
    }

    /// A worker tells its agent of itself. One that keeps its id waits for an answer, as workers
    /// do: an agent that stands still for less than that hears it as it goes on.
    pub(super) fn tell_agent(&mut self, worker: usize) {
        if self.is_shut(worker) {
            return;
        }
        if self.is_deaf(worker) {
            let agent = &self.agents[worker];
            let thaw = agent.frozen_until;
            let is_heard = agent.is_up && thaw <= self.now + HEARTBEAT_PATIENCE;
            if is_heard && self.workers[worker].keeps_id {
                let life = self.workers[worker].life;
                self.schedule(thaw, Happening::RepeatHeartbeat(worker, life));
            }
            return;
        }
        let registration = self.registration(worker);
        if self.holds_heartbeat(worker, &registration) {
            return;
        }
        if self.workers[worker].draining {
            let life = self.workers[worker].life;
            self.see(Seen::DrainAcknowledged { life });
        }
        self.agent_event(worker, AgentEvent::Registered(registration));
    }

    /// Records what changed at a worker.
    pub fn see_changes(&mut self, life: u64, worker: usize, changes: &[Change]) {
        let capacity = self.workers[worker].capacity;
        for change in changes {
            let order = match change {
                Change::Started(run, _) => self.start_orders.get(&(worker, *run)).copied(),
                Change::Ended(..) => None,
            };
            self.see(change.seen(life, capacity, order));
        }
    }
}
