//! An agent's links: which gateways it dials, and its sessions to them.

use std::collections::HashMap;
use std::net::SocketAddr;

use laurelstile_core::leased::agent::LeasedAgent;
use laurelstile_core::leased::membership::subset::Subset;
use laurelstile_core::leased::messages::{FromAgent, Member};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::{Span, Timestamp};
use tokio::sync::mpsc;

use super::ports::SeedSource;
use super::sessions::{Dialed, Dialer};

/// How long a session that is not wanted any more stays open, so that what its gateway
/// has sent before it heard of that still comes.
const RELEASE_PAUSE: Span = Span::from_millis(500);

/// A session to a gateway.
struct Link {
    name: String,
    address: SocketAddr,
    outgoing: mpsc::UnboundedSender<FromAgent>,
    released: Option<Timestamp>,
}

/// Dials gateways and holds the sessions to them.
pub struct Links<D> {
    dialer: Dialer<D>,
    subset: Subset,
    open: HashMap<SessionId, Link>,
}

impl<D: Dialed> Links<D> {
    /// Links that begin with what `dialer` dials.
    pub fn new(dialer: Dialer<D>, subset: Subset) -> Self {
        Self {
            dialer,
            subset,
            open: HashMap::new(),
        }
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// A session was opened.
    pub fn on_opened(
        &mut self,
        now: Timestamp,
        session: SessionId,
        name: String,
        address: SocketAddr,
        outgoing: mpsc::UnboundedSender<FromAgent>,
    ) {
        log::info!(event = "session_opened", gateway = name.as_str(), address:% = address; "");
        self.subset.set_connected(&name, true);
        let _ = outgoing.send(self.subset.first_message(now));
        let link = Link {
            name,
            address,
            outgoing,
            released: None,
        };
        self.open.insert(session, link);
    }

    /// A session has ended, or is to be closed from this side.
    pub fn on_closed(&mut self, session: SessionId) {
        if let Some(link) = self.open.remove(&session) {
            self.note_closed(&link.name);
        }
    }

    fn note_closed(&mut self, name: &str) {
        if !self.open.values().any(|link| link.name == name) {
            self.subset.set_connected(name, false);
        }
    }

    /// Sends a message, if the session is open.
    pub fn send(&self, session: SessionId, message: FromAgent) {
        if let Some(link) = self.open.get(&session) {
            let _ = link.outgoing.send(message);
        }
    }

    /// Takes over the seeds of changed settings, and dials them.
    pub fn reseed(&mut self, source: &SeedSource) {
        self.dialer.reseed(source);
    }

    /// Gateways were named.
    pub fn learn(&mut self, now: Timestamp, members: Vec<Member>) {
        self.subset.add_members(members);
        self.dial_wanted(now);
    }

    /// Dials the gateways to which sessions are wanted, and names them.
    fn dial_wanted(&mut self, now: Timestamp) -> Vec<Member> {
        let wanted = self.subset.wanted(now);
        for member in &wanted {
            self.dialer.dial(member.address);
        }
        wanted
    }

    /// Looks again which sessions are wanted; to be called now and then.
    pub fn review(&mut self, now: Timestamp, agent: &mut LeasedAgent) {
        for address in self.dialer.take_given_up() {
            self.subset.forget(address);
        }
        let wanted = self.dial_wanted(now);
        // Whoever is connected, or may answer, is good enough until then.
        if !self.subset.is_settled(&wanted) {
            return;
        }
        self.dialer.release(|address| {
            let mut members = wanted.iter();
            members.any(|member| member.address == address)
        });
        self.close_unwanted(now, &wanted, agent);
    }

    fn close_unwanted(&mut self, now: Timestamp, wanted: &[Member], agent: &mut LeasedAgent) {
        let mut over = Vec::new();
        for (session, link) in &mut self.open {
            if self.subset.should_keep(wanted, &link.name) {
                if link.released.take().is_some() {
                    agent.release(*session, false);
                }
                continue;
            }
            let Some(released) = link.released else {
                link.released = Some(now);
                agent.release(*session, true);
                continue;
            };
            if now.since(released) >= RELEASE_PAUSE && agent.is_idle_for(*session) {
                over.push(*session);
            }
        }
        for session in over {
            if let Some(link) = self.open.remove(&session) {
                log::info!(event = "session_released", gateway = link.name.as_str(), address:% = link.address; "");
                self.note_closed(&link.name);
            }
        }
    }
}
