//! One process of the daemon, from its settings file to its end.

use std::path::Path;

use laurelstile_types::json::{JsonFileError, read_json_file};
use miette::Diagnostic;
use thiserror::Error;

use crate::error::DaemonError;
use crate::settings::{Role, Settings, SettingsError};
use crate::{agent, gateway, logging};

/// Why the process ended other than by a planned stop.
#[derive(Debug, Error, Diagnostic)]
pub enum ProcessError {
    /// The settings file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] JsonFileError),
    /// The settings are wrong.
    #[error("the settings are wrong")]
    Settings(#[from] SettingsError),
    /// The daemon failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] DaemonError),
}

/// Runs the process that the settings file describes, until a planned stop.
///
/// # Errors
/// [`ProcessError`].
pub fn run(settings: &Path) -> Result<(), ProcessError> {
    let settings: Settings = read_json_file(settings)?;
    settings.check()?;
    logging::start(settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    runtime.block_on(run_role(settings))?;
    Ok(())
}

async fn run_role(settings: Settings) -> Result<(), DaemonError> {
    let Settings { node, role, .. } = settings;
    match role {
        Role::Gateway(settings) => gateway::run(node, settings).await,
        Role::Agent(settings) => agent::run_with_http_backend(node, settings).await,
    }
}
