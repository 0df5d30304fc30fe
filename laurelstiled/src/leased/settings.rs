//! Settings of gateway and agent processes for leased workers.

use std::net::SocketAddr;

use laurelstile_core::leased::agent::HeartbeatTiming;
use laurelstile_core::leased::gateway::StopTimes;
use laurelstile_core::leased::gateway::policies::Policies;
use laurelstile_types::time::Span;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::policy_settings::{AgentPolicySettings, check_gateway_policies, check_range};
use crate::settings::{LogLevel, MIN_SECRET_BYTES, Node};

/// Bounds of the grace period of a shutdown, in seconds.
const MIN_GRACE_SECONDS: f64 = 1.0;
const MAX_GRACE_SECONDS: f64 = 3_600.0;
/// Share of the grace period during which a stopping gateway still accepts jobs from callers that
/// have not reconnected to another gateway, and the upper limit of that time, in seconds.
const OVERLAP_FRACTION: f64 = 0.45;
const MAX_OVERLAP_SECONDS: f64 = 2.8;
/// Part of a gateway's grace period reserved for sending the last answers, in seconds.
const ANSWER_RESERVE_SECONDS: f64 = 0.5;
/// Part of an agent's grace period reserved for stopping the remaining runs, in seconds.
const STOP_RESERVE_SECONDS: f64 = 0.9;

/// Largest interval of heartbeats and grace of a worker's capacity, in milliseconds: one hour, far
/// longer than capacity may be out of date.
const MAX_HEARTBEAT_MILLIS: u64 = 3_600_000;

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedSettings {
    /// Identity of the process.
    pub node: Node,
    /// Minimum severity of log lines.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Address on which metrics are served; `None` disables them.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Session addresses of gateways that are tried first; some may be stale or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Role of the process, with the settings of that role.
    pub role: LeasedRole,
}

/// Role of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeasedRole {
    /// Accepts jobs and places their tasks.
    Gateway(LeasedGatewaySettings),
    /// Controls one worker.
    Agent(LeasedAgentSettings),
}

/// Settings of a process whose role is gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedGatewaySettings {
    /// Address on which sessions of agents and of other gateways are accepted.
    pub sessions: SocketAddr,
    /// Address under which other processes reach `sessions`, if it differs, as behind a proxy or
    /// network address translation.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Time allowed for a graceful shutdown, in seconds.
    pub grace_seconds: f64,
    /// Optional policies; those without a section are off.
    #[serde(default)]
    pub policies: Policies,
}

/// Settings of a process whose role is agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedAgentSettings {
    /// Time allowed for a graceful shutdown, in seconds.
    pub grace_seconds: f64,
    /// Interval between heartbeats of the worker, in milliseconds.
    #[serde(default = "default_heartbeat_millis")]
    pub heartbeat_millis: u64,
    /// Time after a missed heartbeat during which the worker's last known capacity may still be
    /// used, in milliseconds.
    #[serde(default = "default_room_grace_millis")]
    pub room_grace_millis: u64,
    /// Optional policies; those without a section are off.
    #[serde(default)]
    pub policies: AgentPolicySettings,
}

fn default_heartbeat_millis() -> u64 {
    1_500
}

fn default_room_grace_millis() -> u64 {
    3_000
}

/// Why settings that are well-formed JSON were rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum LeasedSettingsError {
    /// The shared secret is too short.
    #[error("node.secret: shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// The name of the node is empty.
    #[error("node.name: empty")]
    EmptyName,
    /// The grace period is outside its bounds, or not a number.
    #[error(
        "role: grace_seconds: {seconds} is not between {MIN_GRACE_SECONDS} and {MAX_GRACE_SECONDS}"
    )]
    BadGrace {
        /// Value from the settings.
        seconds: f64,
    },
    /// A value is outside its range.
    #[error("{field}: {value} is not between {min} and {max}")]
    OutOfRange {
        /// Path of the field in the settings.
        field: &'static str,
        /// Value from the settings.
        value: String,
        /// Smallest valid value.
        min: String,
        /// Largest valid value.
        max: String,
    },
}

impl LeasedGatewaySettings {
    /// The address that is announced to other processes.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.sessions)
    }

    /// Time limits of a graceful shutdown, derived from the grace period.
    pub fn stop_times(&self) -> StopTimes {
        let overlap = (self.grace_seconds * OVERLAP_FRACTION).min(MAX_OVERLAP_SECONDS);
        StopTimes {
            overlap: span_from_seconds(overlap),
            limit: span_from_seconds((self.grace_seconds - ANSWER_RESERVE_SECONDS).max(overlap)),
        }
    }
}

impl LeasedAgentSettings {
    /// Heartbeat interval of the worker, and how long its last report stays valid after it.
    pub fn heartbeat_timing(&self) -> HeartbeatTiming {
        HeartbeatTiming {
            interval: Span::from_millis(self.heartbeat_millis),
            grace: Span::from_millis(self.room_grace_millis),
        }
    }

    /// Time that a graceful shutdown waits for the remaining runs to end.
    pub fn shutdown_timeout(&self) -> Span {
        span_from_seconds((self.grace_seconds - STOP_RESERVE_SECONDS).max(0.0))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be positive and at most an hour"
)]
fn span_from_seconds(seconds: f64) -> Span {
    Span::from_millis((seconds * 1_000.0) as u64)
}

impl LeasedSettings {
    /// Checks the values that the types do not constrain.
    ///
    /// # Errors
    /// The first invalid field found.
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
        match &self.role {
            LeasedRole::Gateway(gateway) => check_gateway_policies(&gateway.policies),
            LeasedRole::Agent(agent) => {
                let range = 0..=MAX_HEARTBEAT_MILLIS;
                let interval = agent.heartbeat_millis;
                check_range("role.agent.heartbeat_millis", interval, range.clone())?;
                let grace = agent.room_grace_millis;
                check_range("role.agent.room_grace_millis", grace, range)?;
                agent.policies.check()
            }
        }
    }
}
