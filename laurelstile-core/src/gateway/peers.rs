//! What a gateway knows of the other gateways.

use std::collections::{BTreeMap, BTreeSet};

use laurelstile_types::id::{GatewayName, Incarnation, SubmissionId};
use laurelstile_types::revision::RevisionNumber;
use laurelstile_types::time::{Span, Timestamp};

use crate::messages::peer::DelegationKey;
use crate::session::{Remote, SessionId};

/// Heartbeat interval towards a peer with delegations either way.
pub const BUSY_HEARTBEAT_INTERVAL: Span = Span::from_millis(300);
/// Heartbeat interval towards other peers.
pub const IDLE_HEARTBEAT_INTERVAL: Span = Span::from_millis(1_500);
/// A peer is not chosen as a scheduler after this silence, and delegations
/// to it are recovered.
pub const SUSPECT_AFTER: Span = Span::from_secs(3);
/// A delegation is sent back if its sender last heard from this gateway
/// longer ago: it may have been recovered meanwhile.
pub const MAX_DELEGATION_ECHO_AGE: Span = Span::from_secs(5);
/// Delegations are recovered when a session was closed for this long.
pub const RECONNECT_GRACE: Span = Span::from_secs(1);
/// A peer's own jobs are dropped after this silence.
pub const LOST_AFTER: Span = Span::from_secs(20);

/// What a gateway knows of a peer.
#[derive(Debug)]
pub struct Peer {
    /// The open session.
    pub session: Option<SessionId>,
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// When the session was closed, if it is.
    pub closed_since: Option<Timestamp>,
    /// When the latest message came.
    pub last_heard: Timestamp,
    /// When the latest message went.
    pub last_sent: Timestamp,
    /// The latest reading of its clock.
    pub clock: Option<Timestamp>,
    /// Whether it takes no delegations.
    pub stopping: bool,
    /// Revision in force there.
    pub revision: RevisionNumber,
    /// Revision last pushed in this session.
    pub pushed_revision: RevisionNumber,
    /// Ends to acknowledge with the next message.
    pub pending_acknowledgements: Vec<SubmissionId>,
    /// Delegations that it has from this gateway, with the time of sending.
    pub outstanding: BTreeMap<DelegationKey, Timestamp>,
    /// Whether its jobs were dropped since it was last heard.
    pub jobs_dropped: bool,
}

impl Peer {
    /// Whether new jobs may be delegated to it.
    pub fn can_schedule(&self, now: Timestamp) -> bool {
        self.session.is_some()
            && self.clock.is_some()
            && !self.stopping
            && now.since(self.last_heard) <= SUSPECT_AFTER
    }

    /// Whether what was delegated to it must be recovered.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        if let Some(closed) = self.closed_since {
            return now.since(closed) > RECONNECT_GRACE;
        }
        let first_sent = self.outstanding.values().min().copied();
        let heard = self.last_heard.max(first_sent.unwrap_or_default());
        now.since(heard) > SUSPECT_AFTER
    }
}

/// All gateways that this one knows.
#[derive(Debug, Default)]
pub struct Peers {
    by_name: BTreeMap<GatewayName, Peer>,
}

impl Peers {
    /// Notes a new session; gives the old session and the old incarnation
    /// where they differ.
    pub fn open(&mut self, now: Timestamp, session: SessionId, remote: &Remote) -> Reopened {
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
        Reopened {
            name,
            old_session,
            lost_incarnation,
        }
    }

    /// Notes that a session is closed.
    pub fn close(&mut self, now: Timestamp, session: SessionId) {
        for peer in self.by_name.values_mut() {
            if peer.session == Some(session) {
                peer.session = None;
                peer.closed_since = Some(now);
            }
        }
    }

    /// The peer of that session.
    pub fn of_session(&self, session: SessionId) -> Option<GatewayName> {
        self.by_name
            .iter()
            .find(|(_, peer)| peer.session == Some(session))
            .map(|(name, _)| name.clone())
    }

    /// The peer with that incarnation.
    pub fn of_incarnation(&self, incarnation: Incarnation) -> Option<GatewayName> {
        self.by_name
            .iter()
            .find(|(_, peer)| peer.incarnation == incarnation)
            .map(|(name, _)| name.clone())
    }

    /// The peer of that name.
    pub fn get(&self, name: &GatewayName) -> Option<&Peer> {
        self.by_name.get(name)
    }

    /// The peer of that name.
    pub fn get_mut(&mut self, name: &GatewayName) -> Option<&mut Peer> {
        self.by_name.get_mut(name)
    }

    /// Every peer.
    pub fn iter(&self) -> impl Iterator<Item = (&GatewayName, &Peer)> {
        self.by_name.iter()
    }

    /// Every peer's name.
    pub fn names(&self) -> BTreeSet<GatewayName> {
        self.by_name.keys().cloned().collect()
    }
}

/// What a new session of a peer replaced.
#[derive(Debug)]
pub struct Reopened {
    /// Name of the peer.
    pub name: GatewayName,
    /// The session before.
    pub old_session: Option<SessionId>,
    /// The incarnation before, if it is another.
    pub lost_incarnation: Option<Incarnation>,
}
