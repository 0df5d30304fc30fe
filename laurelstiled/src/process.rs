//! Runs a daemon process: reads the settings, and starts the role that they name.

use std::path::Path;

use laurelstile_types::json::{JsonFileError, read_json_file};
use miette::Diagnostic;
use thiserror::Error;

use crate::error::DaemonError;
use crate::settings::{Role, Settings, SettingsError};
use crate::{agent, gateway, logging};

/// Why the process ended otherwise than by a graceful shutdown.
#[derive(Debug, Error, Diagnostic)]
pub enum ProcessError {
    /// The settings file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] JsonFileError),
    /// The settings are invalid.
    #[error("invalid settings")]
    Settings(#[from] SettingsError),
    /// The role could not be started, or failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] DaemonError),
}

/// Runs the process that the settings file describes, until its graceful shutdown has finished.
///
/// # Errors
/// [`ProcessError`] if the settings are invalid or the process cannot start.
pub fn run(settings: &Path) -> Result<(), ProcessError> {
    let settings: Settings = read_json_file(settings)?;
    settings.check()?;
    logging::start(settings.log_level)?;
    let runtime = build_runtime(settings.threads).map_err(DaemonError::Runtime)?;
    runtime.block_on(run_role(settings))?;
    Ok(())
}

/// Builds a current-thread runtime for one thread: tasks of the process then wake each other
/// without switching threads, which keeps latency low.
fn build_runtime(threads: usize) -> std::io::Result<tokio::runtime::Runtime> {
    let mut builder = if threads == 1 {
        tokio::runtime::Builder::new_current_thread()
    } else {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(threads);
        builder
    };
    builder.enable_all().build()
}

async fn run_role(settings: Settings) -> Result<(), DaemonError> {
    let Settings { node, role, .. } = settings;
    match role {
        Role::Gateway(settings) => gateway::run(node, settings).await,
        Role::Agent(settings) => agent::run_with_http_backend(node, settings).await,
    }
}
