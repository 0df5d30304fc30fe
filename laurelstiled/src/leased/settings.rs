//! Settings of the processes that serve leased workers.

use std::net::SocketAddr;

use laurelstile_core::leased::agent::HeartbeatTiming;
use laurelstile_core::leased::gateway::StopTimes;
use laurelstile_types::time::Span;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::settings::{LogLevel, MIN_SECRET_BYTES, Node};

/// Bounds of the time for a planned stop, in seconds.
const MIN_GRACE_SECONDS: f64 = 1.0;
const MAX_GRACE_SECONDS: f64 = 3_600.0;
/// Part of the grace, and longest time, for which a stopping gateway still
/// takes jobs from callers that have not moved on.
const OVERLAP_SHARE: f64 = 0.45;
const LONGEST_OVERLAP_SECONDS: f64 = 2.8;
/// What is kept of the grace for the last answers.
const LAST_ANSWERS_SECONDS: f64 = 0.5;
/// What an agent keeps of the grace for stopping what still runs.
const LAST_STOPS_SECONDS: f64 = 0.9;

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedSettings {
    /// Who the process is.
    pub node: Node,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Where metrics are served; nowhere if left out.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where gateways accept sessions, as far as is known beforehand; some may
    /// be stale or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// What the process does.
    pub role: LeasedRole,
}

/// What a process does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasedRole {
    /// It is a gateway.
    Gateway(LeasedGatewaySettings),
    /// It is an agent.
    Agent(LeasedAgentSettings),
}

/// Settings of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedGatewaySettings {
    /// Where sessions of agents and of other gateways are accepted.
    pub sessions: SocketAddr,
    /// Address under which other processes reach that one, if it is another: that
    /// of a relay or of a translated network.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// How long the process has for a planned stop, in seconds.
    pub grace_seconds: f64,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedAgentSettings {
    /// How long the process has for a planned stop, in seconds.
    pub grace_seconds: f64,
    /// Pause between two heartbeats of the worker, in milliseconds.
    #[serde(default = "usual_heartbeat_millis")]
    pub heartbeat_millis: u64,
    /// How long room that has shrunk may be used once the worker's next heartbeat was due,
    /// in milliseconds.
    #[serde(default = "usual_room_grace_millis")]
    pub room_grace_millis: u64,
}

/// A worker's usual heartbeat, and the shortest grace that a platform gave so far.
fn usual_heartbeat_millis() -> u64 {
    1_500
}

fn usual_room_grace_millis() -> u64 {
    3_000
}

/// What is wrong with settings that are well-formed JSON.
#[derive(Debug, Error, Diagnostic)]
pub enum LeasedSettingsError {
    /// The shared secret is too short.
    #[error("node.secret: shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// The name of the node is empty.
    #[error("node.name: empty")]
    EmptyName,
    /// The time for a planned stop is no time.
    #[error(
        "role: grace_seconds: {seconds} is not between {MIN_GRACE_SECONDS} and {MAX_GRACE_SECONDS}"
    )]
    BadGrace {
        /// Its value.
        seconds: f64,
    },
}

impl LeasedGatewaySettings {
    /// The address that other processes are told.
    pub fn public_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.sessions)
    }

    /// Times of a planned stop within the grace.
    pub fn stop_times(&self) -> StopTimes {
        let overlap = (self.grace_seconds * OVERLAP_SHARE).min(LONGEST_OVERLAP_SECONDS);
        StopTimes {
            overlap: span_of(overlap),
            limit: span_of((self.grace_seconds - LAST_ANSWERS_SECONDS).max(overlap)),
        }
    }
}

impl LeasedAgentSettings {
    /// How the worker's word about itself ages.
    pub fn heartbeats(&self) -> HeartbeatTiming {
        HeartbeatTiming {
            interval: Span::from_millis(self.heartbeat_millis),
            grace: Span::from_millis(self.room_grace_millis),
        }
    }

    /// How long a planned stop waits for what runs.
    pub fn stop_patience(&self) -> Span {
        span_of((self.grace_seconds - LAST_STOPS_SECONDS).max(0.0))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be positive and below an hour"
)]
fn span_of(seconds: f64) -> Span {
    Span::from_millis((seconds * 1_000.0) as u64)
}

impl LeasedSettings {
    /// Checks what the types alone do not.
    ///
    /// # Errors
    /// The first fault found, with its place.
    pub fn check(&self) -> Result<(), LeasedSettingsError> {
        if self.node.name.is_empty() {
            return Err(LeasedSettingsError::EmptyName);
        }
        if self.node.secret.len() < MIN_SECRET_BYTES {
            return Err(LeasedSettingsError::SecretTooShort);
        }
        let seconds = match &self.role {
            LeasedRole::Gateway(gateway) => gateway.grace_seconds,
            LeasedRole::Agent(agent) => agent.grace_seconds,
        };
        if !(MIN_GRACE_SECONDS..=MAX_GRACE_SECONDS).contains(&seconds) {
            return Err(LeasedSettingsError::BadGrace { seconds });
        }
        Ok(())
    }
}
