//! A gateway's view of the other gateways.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{GatewayName, Incarnation, SubmissionId};
use laurelstile_types::revision::RevisionNumber;
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::peer::DelegationKey;
use crate::session::{Remote, SessionId};

/// Heartbeat interval to a peer while it has delegations outstanding or any
/// job is scheduled here.
pub const BUSY_HEARTBEAT_INTERVAL: Span = Span::from_millis(300);
/// Heartbeat interval to a peer otherwise.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_millis(1_500);
/// Time without a message after which a peer is not chosen as a scheduler and
/// delegations to it are recovered.
pub const SUSPECT_AFTER: Span = Span::from_secs(3);
/// Maximum age of the clock reading echoed with a delegation. An older
/// delegation may have been recovered in the meantime and is sent back.
pub const MAX_DELEGATION_ECHO_AGE: Span = Span::from_secs(5);
/// How long a peer may take to reconnect after the loss of a session before
/// delegations to it are recovered.
pub const RECONNECT_GRACE: Span = Span::from_secs(1);
/// Time without a message after which the jobs delegated by a peer are
/// dropped.
pub const LOST_AFTER: Span = Span::from_secs(20);

/// A gateway's view of one peer.
#[derive(Debug)]
pub struct Peer {
    pub session: Option<SessionId>,
    pub incarnation: Incarnation,
    /// When the session was closed; `None` while it is open.
    pub closed_since: Option<Timestamp>,
    pub last_heard: Timestamp,
    pub last_sent: Timestamp,
    /// The latest reading of the peer's clock; `None` for an incarnation that
    /// has not sent a message.
    pub clock: Option<Timestamp>,
    /// Whether the peer accepts no new delegations.
    pub stopping: bool,
    /// Revision in force at the peer.
    pub revision: RevisionNumber,
    /// Revision last sent in this session.
    pub pushed_revision: RevisionNumber,
    /// Submissions whose ends to acknowledge with the next message.
    pub pending_acknowledgements: Vec<SubmissionId>,
    /// Delegations from this gateway to the peer, with the time of sending.
    pub outstanding: BTreeMap<DelegationKey, Timestamp>,
    /// Whether the jobs delegated by the peer have been dropped since its last
    /// message.
    pub jobs_dropped: bool,
}

impl Peer {
    /// Whether new jobs may be delegated to the peer.
    pub fn can_schedule(&self, now: Timestamp) -> bool {
        self.session.is_some()
            && self.clock.is_some()
            && !self.stopping
            && now.since(self.last_heard) <= SUSPECT_AFTER
    }

    /// Whether delegations to the peer must be recovered.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        if let Some(closed) = self.closed_since {
            return now.since(closed) > RECONNECT_GRACE;
        }
        let first_sent = self.outstanding.values().min().copied();
        let heard = self.last_heard.max(first_sent.unwrap_or_default());
        now.since(heard) > SUSPECT_AFTER
    }
}

/// All peers known to a gateway.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<GatewayName, Peer>,
}

impl Peers {
    /// Records a new session; returns the session and the incarnation that it
    /// replaces.
    pub fn open(&mut self, now: Timestamp, session: SessionId, remote: &Remote) -> OpenedSession {
        let name = GatewayName(remote.name.clone());
        let peer = self.by_name.entry(name.clone()).or_insert_with(|| Peer {
            session: None,
            incarnation: remote.incarnation,
            closed_since: None,
            last_heard: now,
            last_sent: now,
            clock: None,
            stopping: false,
            revision: 0,
            pushed_revision: 0,
            pending_acknowledgements: Vec::new(),
            outstanding: BTreeMap::new(),
            jobs_dropped: false,
        });
        let old_session = peer.session.replace(session);
        let old_incarnation = std::mem::replace(&mut peer.incarnation, remote.incarnation);
        let lost_incarnation = (old_incarnation != remote.incarnation).then_some(old_incarnation);
        if lost_incarnation.is_some() {
            peer.clock = None;
        }
        peer.closed_since = None;
        peer.last_heard = now;
        peer.pushed_revision = 0;
        peer.stopping = false;
        peer.jobs_dropped = false;
        OpenedSession {
            name,
            old_session,
            lost_incarnation,
        }
    }

    pub fn close(&mut self, now: Timestamp, session: SessionId) {
        for peer in self.by_name.values_mut() {
            if peer.session == Some(session) {
                peer.session = None;
                peer.closed_since = Some(now);
            }
        }
    }

    pub fn find_by_session(&self, session: SessionId) -> Option<GatewayName> {
        self.by_name
            .iter()
            .find(|(_, peer)| peer.session == Some(session))
            .map(|(name, _)| name.clone())
    }

    pub fn find_by_incarnation(&self, incarnation: Incarnation) -> Option<GatewayName> {
        self.by_name
            .iter()
            .find(|(_, peer)| peer.incarnation == incarnation)
            .map(|(name, _)| name.clone())
    }

    pub fn get(&self, name: &GatewayName) -> Option<&Peer> {
        self.by_name.get(name)
    }

    pub fn get_mut(&mut self, name: &GatewayName) -> Option<&mut Peer> {
        self.by_name.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&GatewayName, &Peer)> {
        self.by_name.iter()
    }

    pub fn names(&self) -> BTreeSet<GatewayName> {
        self.by_name.keys().cloned().collect()
    }
}

/// A newly opened session of a peer and what it replaces.
#[derive(Debug)]
pub struct OpenedSession {
    pub name: GatewayName,
    /// The previous session, if it was open.
    pub old_session: Option<SessionId>,
    /// The previous incarnation, if it differs.
    pub lost_incarnation: Option<Incarnation>,
}
