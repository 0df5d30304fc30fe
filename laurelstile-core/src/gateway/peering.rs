//! Sessions of the gateway with other gateways.

use std::collections::BTreeSet;
use std::sync::Arc;

use laurelstile_types::id::{BackendName, GatewayName, Incarnation};
use laurelstile_types::time::{Span, Timestamp};

use super::peers::{
    BUSY_HEARTBEAT_INTERVAL, IDLE_HEARTBEAT_INTERVAL, LOST_AFTER, MAX_DELEGATION_ECHO_AGE,
};
use super::scheduler::Origin;
use super::{Gateway, GatewayEffect};
use crate::messages::peer::{
    Delegation, DelegationEnd, DelegationKey, DelegationOutcome, ToPeer, ToPeerBody,
};
use crate::session::{Remote, SessionId};

/// Time without an outgoing message after which pending acknowledgements are
/// sent in a heartbeat.
const ACKNOWLEDGE_DELAY: Span = Span::from_millis(250);

impl Gateway {
    pub(super) fn on_peer_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        remote: &Remote,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let opened = self.peers.open(now, session, remote);
        if let Some(old) = opened.old_session {
            effects.push(GatewayEffect::Close(old));
        }
        if let Some(lost) = opened.lost_incarnation {
            self.scheduler.on_entry_lost(lost, &mut self.links);
            self.recover_from(now, &opened.name, effects);
        }
        let outstanding = self.outstanding_at(&opened.name);
        let body = ToPeerBody::Outstanding(outstanding);
        self.send_to_peer(now, &opened.name, body, effects);
        let leaving: Vec<BackendName> = self
            .links
            .iter()
            .filter(|(_, link)| link.listed_leaving)
            .map(|(_, link)| link.name.clone())
            .collect();
        if !leaving.is_empty() {
            let body = ToPeerBody::Leaving(leaving);
            self.send_to_peer(now, &opened.name, body, effects);
        }
        for end in self.scheduler.unacknowledged(remote.incarnation) {
            let body = ToPeerBody::Done(Box::new(end));
            self.send_to_peer(now, &opened.name, body, effects);
        }
    }

    pub(super) fn on_peer_message(
        &mut self,
        now: Timestamp,
        session: SessionId,
        message: ToPeer,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.peers.find_by_session(session) else {
            return;
        };
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        peer.last_heard = now;
        peer.clock = Some(message.clock);
        peer.stopping = message.stopping;
        peer.revision = message.revision;
        peer.jobs_dropped = false;
        let incarnation = peer.incarnation;
        for submission in message.acknowledge {
            self.scheduler.acknowledge(submission, &mut self.links);
        }
        self.push_revision_to_peer(now, &name, effects);
        match message.body {
            ToPeerBody::Heartbeat => {}
            ToPeerBody::Delegate(delegation) => {
                let origin = Origin {
                    entry: incarnation,
                    delegated_at: Some(message.echo),
                };
                // An entry gateway with an older revision may not know every
                // agent that can receive tasks. It has just been sent the
                // newer revision.
                let is_behind = message.revision < self.revision_number();
                let is_stale = now.since(message.echo) > MAX_DELEGATION_ECHO_AGE;
                let is_refused = self.stopping || is_behind || is_stale;
                self.on_delegate(now, &name, origin, is_refused, *delegation, effects);
            }
            ToPeerBody::Done(end) => self.on_done(now, &name, *end, effects),
            ToPeerBody::Withdraw(keys) => {
                for key in keys {
                    self.scheduler.withdraw(key, &mut self.links);
                }
            }
            ToPeerBody::Outstanding(keys) => {
                self.on_outstanding(now, &name, incarnation, keys, effects);
            }
            ToPeerBody::UnknownDelegations(keys) => {
                for key in keys {
                    self.recover_outstanding(now, &name, key, effects);
                }
            }
            ToPeerBody::Revision(revision) => self.apply(now, revision, effects),
            ToPeerBody::Leaving(backends) => self.on_leaving(now, &backends, effects),
        }
    }

    /// Handles a peer's notice that the machine list marks back ends as
    /// leaving.
    fn on_leaving(
        &mut self,
        now: Timestamp,
        backends: &[BackendName],
        effects: &mut Vec<GatewayEffect>,
    ) {
        for backend in backends {
            self.leaving.insert(backend.clone());
            if let Some(index) = self.links.find(backend) {
                self.links.get_mut(index).listed_leaving = true;
                self.links.refresh(now, index);
                self.notify_agent_leaving(now, index, effects);
            }
        }
    }

    pub(super) fn notify_peers_leaving(
        &mut self,
        now: Timestamp,
        backends: &[BackendName],
        effects: &mut Vec<GatewayEffect>,
    ) {
        if backends.is_empty() {
            return;
        }
        for name in self.peers.names() {
            let body = ToPeerBody::Leaving(backends.to_vec());
            self.send_to_peer(now, &name, body, effects);
        }
    }

    fn on_delegate(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        origin: Origin,
        is_refused: bool,
        delegation: Delegation,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let key = delegation.key;
        let outcome = if is_refused {
            DelegationOutcome::SentBack
        } else {
            match self.accept_delegation(now, origin, delegation) {
                Ok(()) => return,
                Err(failure) => DelegationOutcome::Failed(failure),
            }
        };
        let end = DelegationEnd { key, outcome };
        self.send_to_peer(now, name, ToPeerBody::Done(Box::new(end)), effects);
    }

    fn on_done(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        end: DelegationEnd,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        // The delegation was already recovered from this peer. Do not
        // acknowledge its end: agents must keep their records of the
        // submission.
        if peer.outstanding.remove(&end.key).is_none() {
            return;
        }
        peer.pending_acknowledgements.push(end.key.submission);
        self.on_delegation_end(now, end, effects);
    }

    fn on_outstanding(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        entry: Incarnation,
        keys: Vec<DelegationKey>,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let outstanding: BTreeSet<DelegationKey> = keys.into_iter().collect();
        self.scheduler
            .retain_delegations(entry, &outstanding, &mut self.links);
        let unknown: Vec<DelegationKey> = outstanding
            .into_iter()
            .filter(|key| !self.scheduler.contains(*key))
            .collect();
        if !unknown.is_empty() {
            self.send_to_peer(now, name, ToPeerBody::UnknownDelegations(unknown), effects);
        }
    }

    /// Recovers all delegations to a peer.
    fn recover_from(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for key in self.outstanding_at(name) {
            self.recover_outstanding(now, name, key, effects);
        }
    }

    fn recover_outstanding(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        key: DelegationKey,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let removed = self
            .peers
            .get_mut(name)
            .and_then(|peer| peer.outstanding.remove(&key));
        if removed.is_some() {
            self.recover(now, key, effects);
        }
    }

    fn outstanding_at(&self, name: &GatewayName) -> Vec<DelegationKey> {
        self.peers
            .get(name)
            .map_or_else(Vec::new, |peer| peer.outstanding.keys().copied().collect())
    }

    /// Reports the ends of delegations to their entry gateways.
    pub(super) fn report_delegation_ends(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        loop {
            let ends = self.scheduler.take_pending_ends();
            if ends.is_empty() {
                return;
            }
            for end in ends {
                if end.entry == self.identity.incarnation {
                    let submission = end.end.key.submission;
                    self.on_delegation_end(now, end.end, effects);
                    self.scheduler.acknowledge(submission, &mut self.links);
                } else if let Some(name) = self.peers.find_by_incarnation(end.entry) {
                    let body = ToPeerBody::Done(Box::new(end.end));
                    self.send_to_peer(now, &name, body, effects);
                }
            }
        }
    }

    pub(super) fn tick_peers(&mut self, now: Timestamp, effects: &mut Vec<GatewayEffect>) {
        for name in self.peers.names() {
            let Some(peer) = self.peers.get_mut(&name) else {
                continue;
            };
            let is_suspect = peer.is_suspect(now);
            let incarnation = peer.incarnation;
            let is_lost = now.since(peer.last_heard) > LOST_AFTER && !peer.jobs_dropped;
            peer.jobs_dropped |= is_lost;
            let since_last_sent = now.since(peer.last_sent);
            let has_acknowledgements = !peer.pending_acknowledgements.is_empty();
            let has_outstanding = !peer.outstanding.is_empty();
            if is_suspect {
                self.recover_from(now, &name, effects);
            }
            if is_lost {
                self.scheduler.on_entry_lost(incarnation, &mut self.links);
            }
            let has_work = has_outstanding || self.scheduler.job_count() > 0;
            let interval = if has_acknowledgements {
                ACKNOWLEDGE_DELAY
            } else if has_work {
                BUSY_HEARTBEAT_INTERVAL
            } else {
                IDLE_HEARTBEAT_INTERVAL
            };
            if since_last_sent >= interval {
                self.send_to_peer(now, &name, ToPeerBody::Heartbeat, effects);
            }
        }
    }

    /// Sends all pending acknowledgements without waiting for another message.
    pub(super) fn send_acknowledgements(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for name in self.peers.names() {
            let is_pending = self
                .peers
                .get(&name)
                .is_some_and(|peer| !peer.pending_acknowledgements.is_empty());
            if is_pending {
                self.send_to_peer(now, &name, ToPeerBody::Heartbeat, effects);
            }
        }
    }

    pub(super) fn push_revision_to_peers(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<GatewayEffect>,
    ) {
        for name in self.peers.names() {
            self.push_revision_to_peer(now, &name, effects);
        }
    }

    /// Sends the revision in force to a peer with an older one, each revision at
    /// most once per session.
    fn push_revision_to_peer(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(revision) = &self.revision else {
            return;
        };
        let revision = Arc::clone(revision);
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let known = peer.revision.max(peer.pushed_revision);
        if peer.session.is_none() || known >= revision.number {
            return;
        }
        peer.pushed_revision = revision.number;
        self.send_to_peer(now, name, ToPeerBody::Revision(revision), effects);
    }

    pub(super) fn send_to_peer(
        &mut self,
        now: Timestamp,
        name: &GatewayName,
        body: ToPeerBody,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let revision = self.revision_number();
        let stopping = self.stopping;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let Some(session) = peer.session else {
            return;
        };
        peer.last_sent = now;
        let echo = peer.clock.unwrap_or_default();
        let acknowledge = std::mem::take(&mut peer.pending_acknowledgements);
        effects.push(GatewayEffect::ToPeer {
            session,
            message: ToPeer {
                revision,
                stopping,
                clock: now,
                echo,
                acknowledge,
                body,
            },
        });
    }
}
