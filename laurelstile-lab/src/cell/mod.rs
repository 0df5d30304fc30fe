//! A cell: a stand-in platform, gateways, agents and back ends as processes on
//! loopback, with relays in their links where faults are wanted.

mod configuration;
mod starting;

use std::ffi::OsString;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use laurelstile::operator::{ChangeOrder, Operator, draw_change_id};
use laurelstile_store::http::HttpClient;
use laurelstile_types::configuration::Tenant;
use laurelstile_types::platform::{Machine, MachineList, MachineRole, MachineState};
use laurelstile_types::revision::Change;
use laurelstiled::settings::LogLevel;
use tempfile::TempDir;

use crate::net::LoopbackBlock;
use crate::standin::backend::BackendFaults;
use crate::standin::platform::PlatformFaults;
use laurelstile_lab::error::LabError;
use laurelstile_lab::process::NodeProcess;
use laurelstile_lab::relay::Relay;
use starting::START_PATIENCE;

/// Token of the cell's operators.
pub const OPERATOR_TOKEN: &str = "lab-operator-token";
/// Name of the cell's pool.
pub const POOL: &str = "main";
/// Name of the cell's service.
pub const SERVICE: &str = "parcels";
/// Class whose requests may be repeated.
pub const REPEATABLE: &str = "snap";
/// Class whose requests may not be repeated.
pub const ONCE: &str = "search";

const PLATFORM_HOST: u8 = 1;

/// What a cell consists of.
#[derive(Clone, Debug)]
pub struct CellPlan {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of back ends, each with its agent.
    pub backends: usize,
    /// Run all agents hollow, in one process, without back ends.
    pub hollow: bool,
    /// Slots of each back end.
    pub slots: u32,
    /// Zones, to which gateways and back ends go in turn.
    pub zones: Vec<String>,
    /// Tenants.
    pub tenants: Vec<Tenant>,
    /// Deadline of both classes.
    pub deadline: Duration,
    /// Expected run time of a task.
    pub expected_run: Duration,
    /// Put relays into the links.
    pub relays: bool,
    /// Write histories.
    pub histories: bool,
    /// What the daemons log.
    pub log_level: LogLevel,
}

/// A gateway of a cell.
#[derive(Debug)]
pub struct GatewayNode {
    /// Its process.
    pub process: NodeProcess,
    /// Address of its API, `http://IP:port`.
    pub api: String,
    /// Address that it dials from.
    pub source: IpAddr,
    mesh: SocketAddr,
}

/// An agent and its back end.
#[derive(Debug)]
pub struct AgentNode {
    /// Process of the agent.
    pub process: NodeProcess,
    /// Process of the back end.
    pub backend: NodeProcess,
    /// Relay in front of the agent.
    pub relay: Option<Relay>,
    /// Address of the agent's metrics, `http://IP:port`.
    pub metrics: String,
    /// Address of the back end, `http://IP:port`.
    pub backend_address: String,
    dialed: SocketAddr,
    agent: SocketAddr,
}

/// The process with the hollow agents.
#[derive(Debug)]
struct HollowNodes {
    process: NodeProcess,
    metrics: String,
    /// Names and addresses of its agents.
    agents: Vec<(String, SocketAddr)>,
}

/// A running cell. Its processes end with it.
#[derive(Debug)]
pub struct Cell {
    /// What it consists of.
    pub plan: CellPlan,
    /// The stand-in platform.
    pub platform: NodeProcess,
    /// Address of the platform, `http://IP:port`.
    pub platform_address: String,
    /// The gateways.
    pub gateways: Vec<GatewayNode>,
    /// The agents with their back ends.
    pub agents: Vec<AgentNode>,
    /// Relays between gateways: dialer, dialed, relay.
    pub mesh_relays: Vec<(usize, usize, Relay)>,
    platform_faults: PlatformFaults,
    hollow: Option<HollowNodes>,
    block: LoopbackBlock,
    directory: TempDir,
    http: HttpClient,
}

impl Cell {
    /// Starts a cell and waits until its gateways answer.
    ///
    /// # Errors
    /// [`LabError`].
    pub async fn start(plan: CellPlan) -> Result<Self, LabError> {
        let directory = TempDir::new().map_err(LabError::Address)?;
        let block = LoopbackBlock::draw();
        let platform_address = block.free_address(PLATFORM_HOST)?;
        let arguments = ["platform", "--listen", &platform_address.to_string()]
            .map(OsString::from)
            .to_vec();
        let platform = NodeProcess::start("platform", directory.path(), arguments)?;
        let mut cell = Self {
            plan,
            platform,
            platform_address: format!("http://{platform_address}"),
            gateways: Vec::new(),
            agents: Vec::new(),
            mesh_relays: Vec::new(),
            platform_faults: PlatformFaults::default(),
            hollow: None,
            block,
            directory,
            http: HttpClient::new(Duration::from_secs(5)),
        };
        cell.await_platform().await?;
        if cell.plan.hollow {
            cell.hollow = Some(cell.start_hollow()?);
        } else {
            for index in 0..cell.plan.backends {
                let agent = cell.start_agent(index).await?;
                cell.agents.push(agent);
            }
        }
        cell.start_gateways(platform_address).await?;
        cell.list_machines(&[]).await?;
        cell.await_gateways().await?;
        Ok(cell)
    }

    /// Copies settings, logs and histories into a directory.
    ///
    /// # Errors
    /// [`LabError::Write`].
    pub fn keep(&self, directory: &Path) -> Result<(), LabError> {
        let error = |source| LabError::Write {
            path: directory.to_owned(),
            source,
        };
        std::fs::create_dir_all(directory).map_err(error)?;
        for entry in std::fs::read_dir(self.directory.path()).map_err(error)? {
            let entry = entry.map_err(error)?;
            std::fs::copy(entry.path(), directory.join(entry.file_name())).map_err(error)?;
        }
        Ok(())
    }

    /// An operator of this cell.
    pub fn operator(&self) -> Operator {
        let gateways = self
            .gateways
            .iter()
            .map(|gateway| gateway.api.clone())
            .collect();
        Operator::new(gateways, OPERATOR_TOKEN)
    }

    /// Applies the cell's configuration and waits until it is in force.
    ///
    /// # Errors
    /// [`LabError::Operator`].
    pub async fn apply(&self) -> Result<u64, LabError> {
        let operator = self.operator();
        let order = ChangeOrder {
            id: draw_change_id(),
            change: Change::Apply(self.configuration()),
            expected_head: None,
            patience: START_PATIENCE,
        };
        let revision = operator.change(&order).await?;
        operator.wait_in_force(revision, START_PATIENCE).await?;
        Ok(revision)
    }

    /// Sets the platform's faults.
    ///
    /// # Errors
    /// [`LabError::Http`].
    pub async fn set_platform_faults(&mut self, faults: PlatformFaults) -> Result<(), LabError> {
        self.platform_faults = faults;
        let body = serde_json::to_vec(&faults)?;
        let uri = format!("{}/control/faults", self.platform_address);
        self.control(&uri, body).await
    }

    /// Whether the platform has no fault now.
    pub fn platform_faults_free(&self) -> bool {
        self.platform_faults == PlatformFaults::default()
    }

    /// Sets the speed of a back end, in thousandths of the usual run times.
    ///
    /// # Errors
    /// [`LabError::Http`].
    pub async fn set_slowness(&self, index: usize, permille: u64) -> Result<(), LabError> {
        let body = serde_json::to_vec(&BackendFaults {
            slowness_permille: permille,
        })?;
        let uri = format!("{}/control/faults", self.agents[index].backend_address);
        self.control(&uri, body).await
    }

    /// Publishes the machine list, with the named back ends leaving.
    ///
    /// # Errors
    /// [`LabError::Http`].
    pub async fn list_machines(&self, leaving: &[String]) -> Result<(), LabError> {
        let agents = self.agents.iter().enumerate().map(|(index, agent)| {
            let name = agent.process.name().to_owned();
            Machine {
                state: if leaving.contains(&name) {
                    MachineState::Leaving
                } else {
                    MachineState::Live
                },
                name,
                role: MachineRole::Backend,
                address: agent.agent.to_string(),
                zone: self.zone(index).into(),
            }
        });
        // With relays the gateways know one another by settings alone.
        let gateways = self
            .gateways
            .iter()
            .enumerate()
            .filter(|_| !self.plan.relays)
            .map(|(index, gateway)| Machine {
                name: gateway.process.name().to_owned(),
                role: MachineRole::Gateway,
                address: gateway.mesh.to_string(),
                zone: self.zone(index).into(),
                state: MachineState::Live,
            });
        let list = MachineList {
            machines: agents.chain(gateways).collect(),
        };
        let uri = format!("{}/control/machines", self.platform_address);
        self.control(&uri, serde_json::to_vec(&list)?).await
    }

    /// Every history that the cell's processes write.
    pub fn histories(&self) -> Vec<PathBuf> {
        let Ok(entries) = std::fs::read_dir(self.directory.path()) else {
            return Vec::new();
        };
        entries
            .filter_map(Result::ok)
            .map(|entry| entry.path())
            .filter(|path| path.extension().is_some_and(|ending| ending == "history"))
            .collect()
    }

    /// Path of a node's history.
    pub fn history_of(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.history"))
    }

    async fn control(&self, uri: &str, body: Vec<u8>) -> Result<(), LabError> {
        let headers = [("content-type", "application/json")];
        let response = self.http.exchange(Method::PUT, uri, &headers, body).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(LabError::Unexpected {
            what: format!("{uri} answered {}", response.status),
        })
    }

    /// Addresses of the metrics of all processes with agents.
    pub fn agent_metrics(&self) -> Vec<String> {
        let real = self.agents.iter().map(|agent| agent.metrics.clone());
        let hollow = self.hollow.iter().map(|hollow| hollow.metrics.clone());
        real.chain(hollow).collect()
    }

    /// The process with the hollow agents, if there is one.
    pub fn hollow_pid(&self) -> Option<u32> {
        self.hollow.as_ref().and_then(|hollow| hollow.process.pid())
    }
}

/// Name of a gateway by its index.
pub fn gateway_name(index: usize) -> String {
    format!("gateway-{}", index + 1)
}

fn host(first: u8, index: usize) -> u8 {
    u8::try_from(index).map_or(u8::MAX, |index| first.saturating_add(index))
}
