//! Workers that leave and come back, and sessions that break.

use laurelstile_core::leased::agent::worker::CommandError;
use laurelstile_core::leased::agent::{AgentEvent, WatchAnswer};
use laurelstile_history::leased::{Life, Seen};
use rand::Rng;

use super::super::faults::Sabotage;
use super::super::nodes;
use super::{Happening, World};

/// Longest from a worker's word that it drains to its deregistration.
const LONGEST_DRAIN: u64 = 2_500_000;
/// Longest that a worker's process lives on after its deregistration was answered.
const LONGEST_LINGERING: u64 = 50_000;
/// How long after its deregistration a worker ends that gets no answer.
const UNANSWERED: u64 = 2_500_000;
/// Longest time for which nothing answers between a worker and its successor.
const LONGEST_GAP: u64 = 1_000_000;
/// How soon both sides notice that a session was broken off.
const NOTICE: u64 = 1_000;

impl World {
    /// A worker says that it drains, and deregisters later; what it runs goes on until its
    /// process ends.
    pub(super) fn leave_worker(&mut self, worker: usize) {
        self.workers[worker].draining = true;
        self.tell_agent(worker);
        let life = self.workers[worker].life;
        let drain = self.random.random_range(0..LONGEST_DRAIN);
        self.schedule(self.now + drain, Happening::Deregisters(worker, life));
    }

    pub(super) fn deregister(&mut self, worker: usize, life: Life) {
        if self.workers[worker].life != life {
            return;
        }
        self.schedule(self.now + UNANSWERED, Happening::WorkerLeaves(worker, life));
        if self.is_deaf(worker) {
            return;
        }
        self.deregistering[worker] = Some(life);
        let incarnation = self.workers[worker].worker_incarnation();
        let event = if self.sabotage == Some(Sabotage::DeregistrationIsEnd) {
            let answer: Result<WatchAnswer, _> = Err(CommandError::IncarnationEnded);
            AgentEvent::Watched {
                incarnation,
                answer,
            }
        } else {
            AgentEvent::Deregistration { id: incarnation.id }
        };
        self.agent_event(worker, event);
    }

    /// A deregistration is answered: that of the life which waits for it, if one does.
    pub(super) fn deregistration_answered(&mut self, worker: usize) {
        let Some(life) = self.deregistering[worker].take() else {
            return;
        };
        let lingers = self.random.random_range(0..LONGEST_LINGERING);
        self.schedule(self.now + lingers, Happening::WorkerLeaves(worker, life));
    }

    /// A worker that has deregistered ends.
    pub(super) fn worker_leaves(&mut self, worker: usize, life: Life) {
        if self.workers[worker].life == life {
            self.kill_worker(worker, None);
        }
    }

    /// A worker refuses connections, also those of its heartbeats, until its process ends.
    pub(super) fn shut_worker(&mut self, worker: usize, end: u64) {
        let life = self.workers[worker].life;
        self.shut[worker] = Some(life);
        if self.random.random_bool(0.5) {
            self.break_watch(worker);
        }
        self.schedule(end, Happening::WorkerLeaves(worker, life));
    }

    /// A worker refuses connections until its successor starts.
    pub(super) fn close_to_successor(&mut self, worker: usize, end: u64) {
        let life = self.workers[worker].life;
        self.shut[worker] = Some(life);
        self.break_watch(worker);
        let gap = self
            .random
            .random_range(0..=(end - self.now).min(LONGEST_GAP));
        self.schedule(self.now + gap, Happening::Succeeds(worker, life, end));
    }

    /// The successor of a worker starts, which runs on beside it.
    pub(super) fn succeed_worker(&mut self, worker: usize, life: Life, end: u64) {
        if self.workers[worker].life != life {
            return;
        }
        self.ended_lives[worker] = Some(self.registration(worker));
        let succeeded = self.workers[worker].clone();
        self.succeeded.insert(life, (succeeded, end));
        // Its runs go on there.
        self.workers[worker].crash();
        self.settle_succeeded(worker, life);
        self.begin_worker(worker);
    }

    /// A worker that has a successor ends what is due, or its process ends.
    pub(super) fn settle_succeeded(&mut self, worker: usize, life: Life) {
        let Some((state, end)) = self.succeeded.get_mut(&life) else {
            return;
        };
        let (now, end) = (self.now, *end);
        let changes = state.settle(now);
        let ends_at = state.next_end().map_or(end, |at| at.max(now + 1).min(end));
        self.see_changes(life, worker, &changes);
        if now < end {
            self.schedule(ends_at, Happening::SettleSucceeded(worker, life));
            return;
        }
        self.see(Seen::Crashed { life, by: None });
        if let Some((mut state, _)) = self.succeeded.remove(&life) {
            let changes = state.crash();
            self.see_changes(life, worker, &changes);
        }
    }

    /// A worker's process starts, unless another fault has started it meanwhile.
    pub(super) fn begin_worker(&mut self, worker: usize) {
        self.begin_unheard(worker, 0);
    }

    /// A worker's process starts, and sends its first heartbeat after `unheard`.
    pub(super) fn begin_unheard(&mut self, worker: usize, unheard: u64) {
        let state = &self.workers[worker];
        if state.keeps_id && state.life != 0 {
            return;
        }
        let life = self.fresh();
        self.workers[worker].begin(self.now, life);
        let zone = nodes::worker_zone(worker);
        self.see(Seen::Began { life, zone });
        let labels = self.workers[worker].labels();
        if !labels.is_empty() {
            self.see(Seen::Labelled { life, labels });
        }
        self.schedule(self.now + unheard, Happening::Heartbeat(worker, life));
    }

    /// A worker's process ends, and starts again after `away`.
    pub(super) fn return_worker(&mut self, worker: usize, away: u64) {
        self.crash_worker(worker, None);
        self.schedule(self.now + away, Happening::WorkerBegins(worker));
    }

    /// A deregistration of the last life that has ended arrives late.
    pub(super) fn late_deregistration(&mut self, worker: usize) {
        if self.is_deaf(worker) {
            return;
        }
        if let Some(ended) = self.ended_lives[worker].clone() {
            let event = AgentEvent::Deregistration {
                id: ended.incarnation.id,
            };
            self.agent_event(worker, event);
        }
    }

    /// All sessions of a gateway are broken off; its agents dial anew.
    pub(super) fn sever_sessions(&mut self, gateway: usize) {
        let to = self.gateways[gateway].incarnation;
        for (session, agent) in self.gateways[gateway].sessions.clone() {
            let of = self.agents[agent].incarnation;
            let at = self.now + NOTICE;
            self.schedule(at, Happening::AgentSessionEnds(agent, of, session));
            self.schedule(at, Happening::GatewaySessionEnds(gateway, to, session));
        }
    }
}
