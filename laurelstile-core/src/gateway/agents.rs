//! Sessions of the gateway with agents.

use std::sync::Arc;

use laurelstile_types::configuration::Configuration;
use laurelstile_types::id::BackendName;
use laurelstile_types::time::{Span, Timestamp};

use super::links::{IDLE_HEARTBEAT_INTERVAL, LinkIndex, SESSION_TIMEOUT};
use super::{Gateway, GatewayEffect};
use crate::agent::BUSY_HEARTBEAT_INTERVAL;
use crate::messages::agent::{FromAgent, FromAgentBody, Membership, ToAgent, ToAgentBody};
use crate::messages::peer::DelegationKey;
use crate::session::{Remote, SessionId};

/// Time without an outgoing message after which pending releases are sent in a
/// heartbeat.
const RELEASE_DELAY: Span = Span::from_millis(500);
/// Number of pending releases at which they are sent in a heartbeat at the next
/// tick.
const RELEASE_BATCH: usize = 256;

impl Gateway {
    pub(super) fn on_agent_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        remote: &Remote,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(index) = self.links.find(&BackendName(remote.name.clone())) else {
            effects.push(GatewayEffect::Close(session));
            return;
        };
        let previous = self.links.get(index).incarnation;
        let is_replaced = previous.is_some_and(|incarnation| incarnation != remote.incarnation);
        if is_replaced {
            self.on_agent_lost(now, index, effects);
        }
        if let Some(old) = self.links.open(now, index, session, remote) {
            effects.push(GatewayEffect::Close(old));
        }
        self.requeue_recovery(index);
        let unresolved = &self.links.get(index).unresolved;
        if !unresolved.is_empty() {
            let dispatches = unresolved.iter().copied().collect();
            self.send_to_agent(now, index, ToAgentBody::Reconcile(dispatches), effects);
        }
        self.notify_agent_leaving(now, index, effects);
    }

    /// Nothing listens at the agent's address: the process that had the tasks
    /// has ended, and their outcome cannot be determined.
    pub(super) fn on_agent_connection_refused(
        &mut self,
        now: Timestamp,
        backend: &BackendName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        if let Some(index) = self.links.find(backend)
            && self.links.get(index).session.is_none()
        {
            self.on_agent_lost(now, index, effects);
        }
    }

    pub(super) fn on_agent_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: FromAgent,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(index) = self.links.find_by_session(session) else {
            return;
        };
        let link = self.links.get_mut(index);
        link.last_heard = now;
        link.report = message.report;
        self.on_agent_body(now, index, message.body, effects);
        self.push_revision_to(now, index, effects);
        self.links.refresh(now, index);
    }

    fn on_agent_body(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        body: FromAgentBody,
        effects: &mut Vec<GatewayEffect>,
    ) {
        match body {
            FromAgentBody::Heartbeat => {}
            FromAgentBody::Results(results) => {
                for result in results {
                    if self.scheduler.is_running(result.dispatch) {
                        self.scheduler.on_task_ended(
                            now,
                            result.dispatch,
                            Span(result.run_micros),
                            result.outcome,
                            &mut self.links,
                        );
                    } else {
                        self.on_direct_result(now, result.dispatch, result.outcome, effects);
                    }
                }
            }
            FromAgentBody::NotStarted(refusals) => {
                for refusal in refusals {
                    self.scheduler.on_not_started(
                        now,
                        refusal.dispatch,
                        refusal.reason,
                        &mut self.links,
                    );
                }
            }
            FromAgentBody::Reconciled(answers) => {
                for answer in answers {
                    self.scheduler.on_reconciled(
                        now,
                        answer.dispatch,
                        answer.status,
                        &mut self.links,
                    );
                }
            }
            FromAgentBody::Recovered(answers) => {
                for answer in answers {
                    self.on_recovered(now, index, answer, effects);
                }
            }
            FromAgentBody::Superseded(fences) => {
                for fence in fences {
                    let key = DelegationKey {
                        submission: fence.submission,
                        delegation: fence.delegation,
                    };
                    self.scheduler.supersede(key, &mut self.links);
                }
            }
            FromAgentBody::Revision(revision) => self.apply(now, revision, effects),
        }
    }

    /// Updates the links for a new configuration.
    pub(super) fn configure_links(&mut self, now: Timestamp, configuration: &Configuration) {
        for index in self.links.indices() {
            self.links.get_mut(index).configured = false;
        }
        for pool in &configuration.pools {
            for backend in &pool.backends {
                let index = self
                    .links
                    .find_or_insert(&backend.name, &pool.name, &backend.zone);
                let is_leaving = self.leaving.contains(&backend.name);
                let link = self.links.get_mut(index);
                link.listed_leaving |= is_leaving;
                link.configured = true;
                link.slots = backend.slots;
            }
        }
        for index in self.links.indices() {
            self.links.refresh(now, index);
        }
    }

    pub(super) fn push_revision_to_agents(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for index in self.links.indices() {
            self.push_revision_to(now, index, effects);
        }
    }

    /// Sends the revision in force to an agent with an older one, each revision at
    /// most once per session.
    fn push_revision_to(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(revision) = &self.revision else {
            return;
        };
        let number = revision.number;
        let revision = Arc::clone(revision);
        let receives_full_revisions = self.links.receives_full_revisions(index);
        let link = self.links.get_mut(index);
        let known = link.report.revision.max(link.pushed_revision);
        if link.session.is_none() || known >= number {
            return;
        }
        link.pushed_revision = number;
        let body = if receives_full_revisions {
            ToAgentBody::Revision(revision)
        } else {
            ToAgentBody::Membership(Membership::of(&revision, &link.name))
        };
        self.send_to_agent(now, index, body, effects);
    }

    pub(super) fn notify_agent_leaving(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let link = self.links.get_mut(index);
        if link.listed_leaving && link.session.is_some() && !link.leaving_notified {
            link.leaving_notified = true;
            self.send_to_agent(now, index, ToAgentBody::Leaving, effects);
        }
    }

    pub(super) fn flush_agents(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for index in self.links.with_pending_commands() {
            let fences = std::mem::take(&mut self.links.get_mut(index).pending_fences);
            if !fences.is_empty() {
                self.send_to_agent(now, index, ToAgentBody::Recover(fences), effects);
            }
            let submissions = std::mem::take(&mut self.links.get_mut(index).pending_cancels);
            if !submissions.is_empty() {
                self.send_to_agent(now, index, ToAgentBody::Cancel(submissions), effects);
            }
        }
        if now < self.starts_held_until {
            return;
        }
        let starts = self.scheduler.dispatch(now, &mut self.links);
        for (index, tasks) in starts {
            self.send_to_agent(now, index, ToAgentBody::Start(tasks), effects);
        }
        self.probe_idle_agents(now, effects);
    }

    /// Requests fresh reports from idle agents if tasks are still queued.
    fn probe_idle_agents(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for (pool, tasks) in self.scheduler.waiting() {
            for index in self.links.choose_probes(now, &pool, tasks) {
                self.send_to_agent(now, index, ToAgentBody::Heartbeat, effects);
            }
        }
    }

    pub(super) fn tick_agents(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for index in self.links.indices() {
            self.links.refresh(now, index);
            let link = self.links.get(index);
            let Some(session) = link.session else {
                continue;
            };
            if now.since(link.last_heard) > SESSION_TIMEOUT {
                effects.push(GatewayEffect::Close(session));
                self.links.close(now, session);
                continue;
            }
            let since_last_sent = now.since(link.last_sent);
            let heartbeat_due = if link.unresolved.is_empty() {
                since_last_sent >= IDLE_HEARTBEAT_INTERVAL
                    && now.since(link.last_heard) >= IDLE_HEARTBEAT_INTERVAL
            } else {
                since_last_sent >= BUSY_HEARTBEAT_INTERVAL
            };
            let release_due = !link.pending_releases.is_empty()
                && (since_last_sent >= RELEASE_DELAY
                    || link.pending_releases.len() >= RELEASE_BATCH);
            if heartbeat_due || release_due {
                self.send_to_agent(now, index, ToAgentBody::Heartbeat, effects);
            }
        }
    }

    /// Sends all pending releases without waiting for another message.
    pub(super) fn send_releases(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for index in self.links.indices() {
            if !self.links.get(index).pending_releases.is_empty() {
                self.send_to_agent(now, index, ToAgentBody::Heartbeat, effects);
            }
        }
    }

    fn send_to_agent(
        &mut self,
        now: Timestamp,
        index: LinkIndex,
        body: ToAgentBody,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let revision = self.revision_number();
        let link = self.links.get_mut(index);
        let Some(session) = link.session else {
            return;
        };
        link.last_sent = now;
        let message = ToAgent {
            echo: link.report.clock,
            revision,
            release: std::mem::take(&mut link.pending_releases),
            body,
        };
        effects.push(GatewayEffect::ToAgent { session, message });
    }
}
