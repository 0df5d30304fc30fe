//! Settings of one process, from its JSON file.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use laurelstile_types::id::ZoneName;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Shortest shared secret that is taken, in bytes.
pub(crate) const MIN_SECRET_BYTES: usize = 16;

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the process is.
    pub node: Node,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Threads that run the process.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// What the process does.
    pub role: Role,
}

/// Who a process is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name of the gateway, or of the back end that the agent stands beside.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Secret that all processes of the installation share.
    pub secret: String,
    /// File to append a history to; for proofs, not for production.
    #[serde(default)]
    pub history: Option<PathBuf>,
}

/// What a process does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It is a gateway.
    Gateway(GatewaySettings),
    /// It is an agent.
    Agent(AgentSettings),
}

/// Settings of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Where callers and operators connect.
    pub api: SocketAddr,
    /// Where other gateways connect.
    pub mesh: SocketAddr,
    /// Local address that sessions to agents and peers are dialed from, on a
    /// machine with several.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Other gateways that are known from the start. More are learned from
    /// the machine list.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Base address of the platform, such as `http://10.0.0.1:80`.
    pub platform: String,
    /// Token that operator calls must carry.
    pub operator_token: String,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// How often the head of the configuration log is read, in milliseconds.
    #[serde(default = "default_configuration_poll_millis")]
    pub configuration_poll_millis: u64,
    /// How often the machine list is read, in milliseconds.
    #[serde(default = "default_machines_poll_millis")]
    pub machines_poll_millis: u64,
}

/// Another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its name.
    pub name: String,
    /// Its mesh address.
    pub address: SocketAddr,
}

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Where gateways connect.
    pub listen: SocketAddr,
    /// Where metrics and health are served.
    pub metrics: SocketAddr,
    /// Base address of the back end, such as `http://127.0.0.1:9000`.
    pub backend: String,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and worse.
    Warn,
    /// What operators want to read.
    #[default]
    Info,
    /// Every submission and dispatch.
    Debug,
}

/// What is wrong with settings that are well-formed JSON.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The shared secret is too short.
    #[error("node.secret: shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// The name of the node is empty.
    #[error("node.name: empty")]
    EmptyName,
    /// No thread is to run the process.
    #[error("threads: must be at least 1")]
    NoThreads,
    /// The operator token is empty.
    #[error("role.gateway.operator_token: empty")]
    EmptyToken,
    /// An address is not an absolute `http://` URI.
    #[error("{place}: {value:?} is not an http:// address")]
    BadAddress {
        /// Path of the field.
        place: &'static str,
        /// Its value.
        value: String,
    },
    /// An interval is zero.
    #[error("{place}: must be at least 1")]
    ZeroInterval {
        /// Path of the field.
        place: &'static str,
    },
}

impl Settings {
    /// Checks what the types alone do not.
    ///
    /// # Errors
    /// The first fault found, with its place.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.node.name.is_empty() {
            return Err(SettingsError::EmptyName);
        }
        if self.node.secret.len() < MIN_SECRET_BYTES {
            return Err(SettingsError::SecretTooShort);
        }
        if self.threads == 0 {
            return Err(SettingsError::NoThreads);
        }
        match &self.role {
            Role::Gateway(gateway) => gateway.check(),
            Role::Agent(agent) => check_address("role.agent.backend", &agent.backend),
        }
    }
}

impl GatewaySettings {
    fn check(&self) -> Result<(), SettingsError> {
        if self.operator_token.is_empty() {
            return Err(SettingsError::EmptyToken);
        }
        check_interval(
            "role.gateway.configuration_poll_millis",
            self.configuration_poll_millis,
        )?;
        check_interval(
            "role.gateway.machines_poll_millis",
            self.machines_poll_millis,
        )?;
        check_address("role.gateway.platform", &self.platform)
    }
}

fn check_interval(place: &'static str, millis: u64) -> Result<(), SettingsError> {
    if millis == 0 {
        return Err(SettingsError::ZeroInterval { place });
    }
    Ok(())
}

fn check_address(place: &'static str, value: &str) -> Result<(), SettingsError> {
    let parsed: Option<http::Uri> = value.parse().ok();
    let well_formed = parsed.is_some_and(|uri| uri.scheme_str() == Some("http"));
    if well_formed {
        return Ok(());
    }
    Err(SettingsError::BadAddress {
        place,
        value: value.to_owned(),
    })
}

/// One thread gave the lowest latency (docs/BENCH.md).
fn default_threads() -> usize {
    1
}

fn default_max_body_bytes() -> usize {
    16 * 1024 * 1024
}

fn default_configuration_poll_millis() -> u64 {
    500
}

fn default_machines_poll_millis() -> u64 {
    1_000
}
