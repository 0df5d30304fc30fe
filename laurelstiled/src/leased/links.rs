//! The gateways that an agent dials, and its open sessions to them.

use std::collections::HashMap;
use std::net::SocketAddr;

use laurelstile_core::leased::agent::LeasedAgent;
use laurelstile_core::leased::membership::subset::Subset;
use laurelstile_core::leased::messages::{FromAgent, Member};
use laurelstile_core::session::SessionId;
use laurelstile_types::time::{Span, Timestamp};
use tokio::sync::mpsc;

use super::ports::SeedSource;
use super::sessions::{Dialer, SessionHandler};

/// Time that a session stays open after the agent has released it, so that messages that the
/// gateway sent before it learned of the release still arrive.
const RELEASE_DELAY: Span = Span::from_millis(500);

/// An open session to a gateway.
struct Link {
    name: String,
    address: SocketAddr,
    outgoing: mpsc::UnboundedSender<FromAgent>,
    released_at: Option<Timestamp>,
}

/// Dials gateways and holds the sessions to them.
pub struct Links<H> {
    dialer: Dialer<H>,
    subset: Subset,
    open: HashMap<SessionId, Link>,
}

impl<H: SessionHandler> Links<H> {
    /// Creates it without open sessions; `dialer` already dials the seeds.
    pub fn new(dialer: Dialer<H>, subset: Subset) -> Self {
        Self {
            dialer,
            subset,
            open: HashMap::new(),
        }
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Registers a session that was opened, and sends its first message.
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
            released_at: None,
        };
        self.open.insert(session, link);
    }

    /// Removes a session. If it is still open, dropping its queue closes it.
    pub fn on_closed(&mut self, session: SessionId) {
        if let Some(link) = self.open.remove(&session) {
            self.mark_disconnected(&link.name);
        }
    }

    fn mark_disconnected(&mut self, name: &str) {
        if !self.open.values().any(|link| link.name == name) {
            self.subset.set_connected(name, false);
        }
    }

    /// Sends a message; does nothing if the session is closed.
    pub fn send(&self, session: SessionId, message: FromAgent) {
        if let Some(link) = self.open.get(&session) {
            let _ = link.outgoing.send(message);
        }
    }

    /// Reads the seeds again from the settings, and dials them.
    pub fn reload_seeds(&mut self, source: &SeedSource) {
        self.dialer.reload_seeds(source);
    }

    /// Adds gateways to those known, and dials those in the subset.
    pub fn add_members(&mut self, now: Timestamp, members: Vec<Member>) {
        self.subset.add_members(members);
        self.dial_wanted(now);
    }

    /// Dials the gateways of the subset, and returns them.
    fn dial_wanted(&mut self, now: Timestamp) -> Vec<Member> {
        let wanted = self.subset.wanted(now);
        for member in &wanted {
            self.dialer.dial(member.address);
        }
        wanted
    }

    /// Selects the subset again, and closes sessions outside it; called at regular intervals.
    pub fn review(&mut self, now: Timestamp, agent: &mut LeasedAgent) {
        for address in self.dialer.take_unreachable() {
            self.subset.forget(address);
        }
        let wanted = self.dial_wanted(now);
        // Keep every session until enough gateways of the subset are connected.
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
        let mut expired = Vec::new();
        for (session, link) in &mut self.open {
            if self.subset.should_keep(wanted, &link.name) {
                if link.released_at.take().is_some() {
                    agent.release(*session, false);
                }
                continue;
            }
            let Some(released) = link.released_at else {
                link.released_at = Some(now);
                agent.release(*session, true);
                continue;
            };
            if now.since(released) >= RELEASE_DELAY && agent.is_idle_for(*session) {
                expired.push(*session);
            }
        }
        for session in expired {
            if let Some(link) = self.open.remove(&session) {
                log::info!(event = "session_released", gateway = link.name.as_str(), address:% = link.address; "");
                self.mark_disconnected(&link.name);
            }
        }
    }
}
