//! Gateways that are silent: what they left here is stopped, and their sessions are closed.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::timing::BUSY_HEARTBEAT_INTERVAL;
use super::{AgentDecision, AgentEffect, LeasedAgent};
use crate::session::SessionId;

/// How long a gateway without a session is remembered.
const OWNER_MEMORY: Span = Span::from_secs(4);
/// A session is closed, and its gateway dialed anew, if nothing has come over it for so
/// long although this agent sent: a connection may go silent without an end while new ones
/// work. Ten heartbeats of a busy session; two of an idle one, and some.
const BUSY_SESSION_SILENCE: Span = Span::from_millis(1_000);
const IDLE_SESSION_SILENCE: Span = Span::from_millis(2_200);
/// How often an agent with sessions looks at the time, at least.
const LOOK_PAUSE: Span = Span::from_millis(500);
/// An agent that was not woken for longer has stood still: it has heard nothing because
/// it did not listen.
const STANDSTILL: Span = Span::from_millis(700);

impl LeasedAgent {
    /// Stops what gateways that are silent have left here.
    pub(super) fn end_silent_owners(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let silent: Vec<Incarnation> = self
            .owners
            .iter()
            .filter(|(_, owner)| now > owner.silent_at())
            .map(|(gateway, _)| *gateway)
            .collect();
        for gateway in &silent {
            self.stop_runs_of(now, *gateway, effects);
        }
        for gateway in silent {
            let is_over = self
                .owners
                .get(&gateway)
                .is_some_and(|owner| owner.session.is_none() && owner.echo_age(now) > OWNER_MEMORY);
            if is_over && !self.owns_runs(gateway) {
                self.owners.remove(&gateway);
            }
        }
    }

    pub(super) fn owns_runs(&self, gateway: Incarnation) -> bool {
        self.ledger.iter().any(|(_, run)| run.owner == gateway)
    }

    /// Notes that the agent runs, and since when it has done so without a break. While it stood
    /// still its worker may have started again: nothing starts there until it has been asked.
    pub(super) fn note_awake(&mut self, now: Timestamp) {
        if now.since(self.last_flush) > STANDSTILL {
            self.awake_since = now;
            if let Some(life) = self.life.as_mut().filter(|life| life.name.may_restart()) {
                life.has_synced = false;
            }
        }
        self.last_flush = now;
    }

    /// Closes the sessions over which nothing comes any more.
    pub(super) fn close_silent_sessions(&mut self, now: Timestamp, effects: &mut Vec<AgentEffect>) {
        let silent: Vec<(SessionId, Incarnation)> = self
            .sessions
            .iter()
            .filter(|(_, gateway)| {
                let silent_at = self.session_silent_at(now, **gateway);
                silent_at.is_some_and(|silent_at| now >= silent_at)
            })
            .map(|(session, gateway)| (*session, *gateway))
            .collect();
        for (session, gateway) in silent {
            let silence = self.owners.get(&gateway).map(|owner| owner.echo_age(now));
            effects.push(AgentEffect::Decided(AgentDecision::SessionSilent {
                gateway,
                silence: silence.unwrap_or_default(),
            }));
            effects.push(AgentEffect::Close(session));
            self.on_closed(session);
        }
    }

    /// When the session to a gateway is closed if nothing comes over it.
    fn session_silent_at(&self, now: Timestamp, gateway: Incarnation) -> Option<Timestamp> {
        let owner = self.owners.get(&gateway)?;
        let limit = if self.beat_interval(now, gateway, owner) == BUSY_HEARTBEAT_INTERVAL {
            BUSY_SESSION_SILENCE
        } else {
            IDLE_SESSION_SILENCE
        };
        let heard = owner.echo.max(owner.opened);
        Some(heard.max(self.awake_since).after(limit))
    }

    /// When to look again whether a session is silent.
    pub(super) fn look_for_silence_at(&self, now: Timestamp) -> Option<Timestamp> {
        let gateways = self.sessions.values();
        let due = gateways.filter_map(|gateway| self.session_silent_at(now, *gateway));
        let look = self.last_flush.after(LOOK_PAUSE);
        due.min().map(|due| due.min(look))
    }
}
