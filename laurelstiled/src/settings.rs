//! Settings of a daemon process, read from a JSON file.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use laurelstile_types::id::ZoneName;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Minimum length of the shared secret, in bytes.
pub(crate) const MIN_SECRET_BYTES: usize = 16;

/// Settings of one process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the process.
    pub node: Node,
    /// Minimum severity of log lines.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Number of runtime threads; at least 1.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Role of the process, with the settings of that role.
    pub role: Role,
}

/// Identity of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name of the gateway or agent. The agent of a back end has the back end's name.
    pub name: String,
    /// Zone in which the process runs.
    pub zone: ZoneName,
    /// Secret shared by all processes of the installation, at least `MIN_SECRET_BYTES` long.
    pub secret: String,
    /// File to which the history of events is appended; for consistency checks, not for
    /// production.
    #[serde(default)]
    pub history: Option<PathBuf>,
}

/// Role of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts jobs and dispatches their tasks.
    Gateway(GatewaySettings),
    /// Runs tasks on one back end.
    Agent(AgentSettings),
}

/// Settings of a process whose role is gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address of the HTTP API for callers and operators.
    pub api: SocketAddr,
    /// Address on which sessions of other gateways are accepted.
    pub mesh: SocketAddr,
    /// Local address from which sessions to agents and peers are dialed; `None` leaves the choice
    /// to the system.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Gateways known at the start; others are taken from the machine list.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Base address of the platform, such as `http://10.0.0.1:80`.
    pub platform: String,
    /// Bearer token required for operator calls.
    pub operator_token: String,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Interval at which the head of the configuration log is read, in milliseconds.
    #[serde(default = "default_configuration_poll_millis")]
    pub configuration_poll_millis: u64,
    /// Interval at which the machine list is read, in milliseconds.
    #[serde(default = "default_machines_poll_millis")]
    pub machines_poll_millis: u64,
}

/// A peer gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of the gateway.
    pub name: String,
    /// Address on which the gateway accepts sessions of other gateways.
    pub address: SocketAddr,
}

/// Settings of a process whose role is agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Address on which sessions of gateways are accepted.
    pub listen: SocketAddr,
    /// Address of the HTTP server for metrics and health.
    pub metrics: SocketAddr,
    /// Base address of the back end, such as `http://127.0.0.1:9000`.
    pub backend: String,
}

/// Minimum severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also events of interest to operators.
    #[default]
    Info,
    /// Also every submission and dispatch.
    Debug,
}

/// Why settings that are well-formed JSON were rejected.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The shared secret is too short.
    #[error("node.secret: shorter than {MIN_SECRET_BYTES} bytes")]
    SecretTooShort,
    /// The name of the node is empty.
    #[error("node.name: empty")]
    EmptyName,
    /// The number of threads is zero.
    #[error("threads: must be at least 1")]
    NoThreads,
    /// The operator token is empty.
    #[error("role.gateway.operator_token: empty")]
    EmptyToken,
    /// An address is not an absolute `http://` URI.
    #[error("{field}: {value:?} is not an http:// address")]
    BadAddress {
        /// Path of the field in the settings.
        field: &'static str,
        /// Value from the settings.
        value: String,
    },
    /// An interval in milliseconds is zero.
    #[error("{field}: must be at least 1")]
    ZeroInterval {
        /// Path of the field in the settings.
        field: &'static str,
    },
}

impl Settings {
    /// Checks the values that the types do not constrain.
    ///
    /// # Errors
    /// The first invalid field found.
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

fn check_interval(field: &'static str, millis: u64) -> Result<(), SettingsError> {
    if millis == 0 {
        return Err(SettingsError::ZeroInterval { field });
    }
    Ok(())
}

fn check_address(field: &'static str, value: &str) -> Result<(), SettingsError> {
    let parsed: Option<http::Uri> = value.parse().ok();
    let is_http = parsed.is_some_and(|uri| uri.scheme_str() == Some("http"));
    if is_http {
        return Ok(());
    }
    Err(SettingsError::BadAddress {
        field,
        value: value.to_owned(),
    })
}

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
