//! Time-outs of gateways: runs of a silent gateway are stopped, and silent sessions are closed.

use laurelstile_types::id::Incarnation;
use laurelstile_types::time::{Span, Timestamp};

use super::super::timing::BUSY_HEARTBEAT_INTERVAL;
use super::{AgentDecision, AgentEffect, LeasedAgent};
use crate::session::SessionId;

/// How long after its latest echo a gateway without a session or runs is remembered.
const OWNER_TTL: Span = Span::from_secs(4);
/// A session on which nothing arrives for this long is closed and the gateway dialed again,
/// since a connection may fail without being closed: ten heartbeat intervals of a busy session,
/// and a little more than two of an idle one.
const BUSY_SESSION_TIMEOUT: Span = Span::from_millis(1_000);
const IDLE_SESSION_TIMEOUT: Span = Span::from_millis(2_200);
/// Maximum interval between two checks for silent sessions.
const SILENCE_CHECK_INTERVAL: Span = Span::from_millis(500);
/// An agent that was not woken for longer than this was suspended: it received nothing because
/// it did not run.
const SUSPENSION_THRESHOLD: Span = Span::from_millis(700);

impl LeasedAgent {
    /// Stops the runs of gateways that are silent, and forgets gateways that have been gone for
    /// long.
    pub(super) fn stop_runs_of_silent_owners(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<AgentEffect>,
    ) {
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
            let is_expired = self
                .owners
                .get(&gateway)
                .is_some_and(|owner| owner.session.is_none() && owner.echo_age(now) > OWNER_TTL);
            if is_expired && !self.owns_runs(gateway) {
                self.forget_gateway(gateway);
            }
        }
    }

    pub(super) fn owns_runs(&self, gateway: Incarnation) -> bool {
        self.runs.iter().any(|(_, run)| run.owner == gateway)
    }

    /// Records that the agent runs, and detects that it was suspended. The worker may have
    /// restarted meanwhile, so nothing starts until it has been queried.
    pub(super) fn detect_suspension(&mut self, now: Timestamp) {
        if now.since(self.last_flush) > SUSPENSION_THRESHOLD {
            self.running_since = now;
            if let Some(worker) = self
                .worker
                .as_mut()
                .filter(|worker| worker.incarnation.may_restart())
            {
                worker.has_synced = false;
            }
        }
        self.last_flush = now;
    }

    /// Closes the sessions on which nothing has arrived for too long.
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

    /// When the session to a gateway is closed unless something arrives.
    fn session_silent_at(&self, now: Timestamp, gateway: Incarnation) -> Option<Timestamp> {
        let owner = self.owners.get(&gateway)?;
        let limit = if self.heartbeat_interval(now, gateway, owner) == BUSY_HEARTBEAT_INTERVAL {
            BUSY_SESSION_TIMEOUT
        } else {
            IDLE_SESSION_TIMEOUT
        };
        let last_activity = owner.echo.max(owner.opened);
        Some(last_activity.max(self.running_since).after(limit))
    }

    /// When to check again for silent sessions.
    pub(super) fn silence_check_at(&self, now: Timestamp) -> Option<Timestamp> {
        let gateways = self.sessions.values();
        let due = gateways.filter_map(|gateway| self.session_silent_at(now, *gateway));
        let next_check = self.last_flush.after(SILENCE_CHECK_INTERVAL);
        due.min().map(|due| due.min(next_check))
    }
}
