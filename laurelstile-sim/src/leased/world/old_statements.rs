//! News of workers that are kept back: heartbeats that are held up, and records that the store does not
//! take.

use laurelstile_core::leased::agent::AgentEvent;
use laurelstile_core::leased::agent::worker::{IncarnationRecord, Registration};
use laurelstile_types::id::Incarnation;

use super::{Happening, World};

/// What keeps news of one worker back.
#[derive(Debug, Default)]
pub(super) struct HeldNews {
    /// Until when heartbeats do not arrive.
    heartbeats_until: u64,
    /// The first heartbeat since, which arrives then.
    heartbeat: Option<Registration>,
    /// Until when the store takes no record.
    records_until: u64,
    /// The latest record since, and the agent's incarnation.
    record: Option<(Incarnation, IncarnationRecord)>,
}

impl World {
    pub(super) fn hold_heartbeats(&mut self, worker: usize, end: u64) {
        let held = &mut self.held_news[worker];
        held.heartbeats_until = held.heartbeats_until.max(end);
        self.schedule(end, Happening::HeldHeartbeatArrives(worker));
    }

    /// Whether a heartbeat does not arrive now. The first one is kept.
    pub(super) fn holds_heartbeat(&mut self, worker: usize, heartbeat: &Registration) -> bool {
        let held = &mut self.held_news[worker];
        let is_held = self.now < held.heartbeats_until;
        if is_held {
            held.heartbeat.get_or_insert_with(|| heartbeat.clone());
        }
        is_held
    }

    pub(super) fn held_heartbeat_arrives(&mut self, worker: usize) {
        let held = &mut self.held_news[worker];
        if self.now < held.heartbeats_until {
            return;
        }
        if let Some(heartbeat) = held.heartbeat.take()
            && !self.is_deaf(worker)
        {
            self.agent_event(worker, AgentEvent::Registered(heartbeat));
        }
    }

    pub(super) fn lose_records(&mut self, agent: usize, end: u64) {
        let held = &mut self.held_news[agent];
        held.records_until = held.records_until.max(end);
        self.schedule(end, Happening::StoreReturns(agent));
    }

    /// An agent writes the record of its worker; while the store takes none, it tries again.
    pub(super) fn write_record(
        &mut self,
        agent: usize,
        incarnation: Incarnation,
        record: IncarnationRecord,
    ) {
        let held = &mut self.held_news[agent];
        if self.now < held.records_until {
            held.record = Some((incarnation, record));
        } else {
            self.recorded[agent] = Some(record);
        }
    }

    /// The store takes records again, those of agents that have not ended.
    pub(super) fn store_returns(&mut self, agent: usize) {
        if self.now < self.held_news[agent].records_until {
            return;
        }
        let process = &self.agents[agent];
        let unwritten = self.held_news[agent].record.take();
        if let Some((writer, record)) = unwritten
            && process.is_up
            && process.incarnation == writer
        {
            self.recorded[agent] = Some(record);
        }
    }
}
