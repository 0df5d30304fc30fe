//! Outgoing messages of an agent: reports, offers of free slots, and results.

use laurelstile_types::time::Timestamp;

use super::{
    Agent, AgentEffect, BUSY_HEARTBEAT_INTERVAL, HEARTBEAT_REPLY_INTERVAL, Link, NEW_MEMBER_PERIOD,
};
use crate::messages::agent::{FromAgent, FromAgentBody, SlotReport};
use crate::session::SessionId;

impl Agent {
    /// Answers a gateway's heartbeat. Idle agents send heartbeats only as
    /// answers; gateways probe them for fresh reports and for liveness.
    pub(super) fn answer_heartbeat(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let is_due = self
            .links
            .get(&session)
            .is_some_and(|link| now.since(link.last_sent) >= HEARTBEAT_REPLY_INTERVAL);
        if is_due {
            self.send(now, session, FromAgentBody::Heartbeat, effects);
        }
    }

    /// Sessions that need periodic reports and have not been sent one within
    /// the heartbeat interval.
    pub(super) fn heartbeats_due(&self, now: Timestamp) -> Vec<SessionId> {
        // Gateways need fresh reports to determine whether a new member was in
        // the pool before a delegation.
        let is_new = now.since(self.member_since) < NEW_MEMBER_PERIOD;
        let busy =
            |link: &Link| is_new || link.awaits_slot || self.records.has_running_for(link.gateway);
        self.links
            .iter()
            .filter(|(_, link)| busy(link) && now.since(link.last_sent) >= BUSY_HEARTBEAT_INTERVAL)
            .map(|(session, _)| *session)
            .collect()
    }

    pub(super) fn send_revision(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<AgentEffect>,
    ) {
        if let Some(revision) = self.revision.clone() {
            self.send(now, session, FromAgentBody::Revision(revision), effects);
        }
    }

    /// Slots that can be filled now.
    pub(super) fn free_slots(&self, now: Timestamp) -> u32 {
        if self.is_draining() || now < self.backend_down_until {
            return 0;
        }
        self.slots.saturating_sub(self.records.running())
    }

    pub(super) fn report(&self, now: Timestamp, link: &Link) -> SlotReport {
        let is_contested = self.links.values().any(|link| link.awaits_slot);
        let free = if is_contested && !link.has_offer {
            0
        } else {
            self.free_slots(now)
        };
        SlotReport {
            clock: now,
            revision: self.revision_number(),
            free,
            processed: link.processed,
            draining: self.is_draining(),
            member_since: self.member_since,
        }
    }

    /// If gateways are waiting for slots, offers the free ones to the waiting
    /// gateway with the fewest running tasks here.
    pub(super) fn choose_offer(&mut self) {
        if !self.links.values().any(|link| link.awaits_slot) {
            return;
        }
        let records = &self.records;
        let chosen = self
            .links
            .iter()
            .filter(|(_, link)| link.awaits_slot)
            .min_by_key(|(_, link)| records.running_for(link.gateway))
            .map(|(session, _)| *session);
        for (session, link) in &mut self.links {
            link.has_offer = Some(*session) == chosen;
        }
    }

    pub(super) fn flush_link(
        &mut self,
        now: Timestamp,
        session: SessionId,
        effects: &mut Vec<AgentEffect>,
    ) {
        let free = self.free_slots(now);
        let Some(link) = self.links.get_mut(&session) else {
            return;
        };
        let results = std::mem::take(&mut link.results);
        let refusals = std::mem::take(&mut link.refusals);
        let offer = link.awaits_slot && link.has_offer && free > 0;
        if offer {
            link.awaits_slot = false;
        }
        let nothing_sent = results.is_empty() && refusals.is_empty();
        if !refusals.is_empty() {
            self.send(now, session, FromAgentBody::NotStarted(refusals), effects);
        }
        if !results.is_empty() {
            self.send(now, session, FromAgentBody::Results(results), effects);
        }
        if offer && nothing_sent {
            self.send(now, session, FromAgentBody::Heartbeat, effects);
        }
    }

    pub(super) fn send(
        &mut self,
        now: Timestamp,
        session: SessionId,
        body: FromAgentBody,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(link) = self.links.get(&session) else {
            return;
        };
        let report = self.report(now, link);
        effects.push(AgentEffect::Send {
            session,
            message: FromAgent { report, body },
        });
        if let Some(link) = self.links.get_mut(&session) {
            link.last_sent = now;
        }
    }
}
