//! Settings of the processes that serve leased workers.

use std::net::SocketAddr;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::settings::{LogLevel, Node};

/// Shortest shared secret that is taken, in bytes.
const MIN_SECRET_BYTES: usize = 16;

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
    /// How long a planned stop goes on taking jobs from callers that have not
    /// moved on yet, in milliseconds.
    pub stop_overlap_millis: u64,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeasedAgentSettings {
    /// How long a planned stop waits for what runs, in milliseconds.
    pub stop_patience_millis: u64,
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
        Ok(())
    }
}
