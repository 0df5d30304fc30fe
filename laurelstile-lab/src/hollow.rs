//! Hollow agents: many real agent machines in one process, without back ends;
//! a task is a timer.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use laurelstile_core::agent::RunEnd;
use laurelstile_core::messages::agent::TaskOutcome;
use laurelstile_types::json::read_json_file;
use laurelstiled::agent::backend::{Backend, Run};
use laurelstiled::settings::{LogLevel, Node};
use laurelstiled::{agent, logging, telemetry};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::standin::backend::TaskInput;
use laurelstile_lab::error::LabError;

/// Settings of a process with hollow agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowSettings {
    /// Where the process serves metrics.
    pub metrics: SocketAddr,
    /// Its agents.
    pub agents: Vec<HollowAgent>,
}

/// A hollow agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowAgent {
    /// Who it is.
    pub node: Node,
    /// Where gateways connect.
    pub listen: SocketAddr,
}

/// A back end that is only a timer.
struct Timer;

impl Backend for Timer {
    async fn run(&self, run: Run) -> RunEnd {
        let input: Result<TaskInput, _> = serde_json::from_slice(run.input.as_bytes());
        let micros = input.map_or(0, |input| input.run_micros);
        if micros > 0 {
            tokio::time::sleep(Duration::from_micros(micros)).await;
        }
        RunEnd::Ended(TaskOutcome::Output(run.input))
    }
}

/// Runs hollow agents until the process is ended.
///
/// # Errors
/// [`LabError`] if they cannot start.
pub async fn run(settings: &Path) -> Result<(), LabError> {
    let settings: HollowSettings = read_json_file(settings).map_err(Box::new)?;
    logging::start(LogLevel::Error)?;
    let metrics = telemetry::install()?;
    let _server = agent::http::serve(settings.metrics, metrics)?;
    let backend = Arc::new(Timer);
    let mut agents = tokio::task::JoinSet::new();
    for hollow in settings.agents {
        let listener = TcpListener::bind(hollow.listen)
            .await
            .map_err(LabError::Address)?;
        let never = std::future::pending();
        agents.spawn(agent::run(
            hollow.node,
            listener,
            Arc::clone(&backend),
            never,
        ));
    }
    while let Some(ended) = agents.join_next().await {
        if let Ok(ended) = ended {
            ended?;
        }
    }
    Ok(())
}
