//! A cell: a stand-in platform, gateways, agents and back ends as processes on
//! loopback, with relays in their links where faults are wanted.

use std::ffi::OsString;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use http::Method;
use laurelstile::operator::{ChangeOrder, Operator, draw_change_id};
use laurelstile_store::http::HttpClient;
use laurelstile_types::configuration::{
    Backend, Class, Configuration, FORMAT_VERSION, Pool, Service, Tenant,
};
use laurelstile_types::platform::{Machine, MachineList, MachineRole, MachineState};
use laurelstile_types::revision::Change;
use laurelstiled::settings::{
    AgentSettings, GatewaySettings, LogLevel, Node, PeerSettings, Role, Settings,
};
use tempfile::TempDir;
use tokio::time::Instant;

use crate::hollow::{HollowAgent, HollowSettings};
use crate::net::LoopbackBlock;
use crate::standin::backend::BackendFaults;
use crate::standin::platform::PlatformFaults;
use laurelstile_lab::error::LabError;
use laurelstile_lab::process::NodeProcess;
use laurelstile_lab::relay::Relay;

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

const SECRET: &str = "the lab's shared secret";
const PLATFORM_HOST: u8 = 1;
const FIRST_GATEWAY_HOST: u8 = 10;
const FIRST_AGENT_HOST: u8 = 30;
const START_PATIENCE: Duration = Duration::from_secs(60);
const POLL_PAUSE: Duration = Duration::from_millis(25);
const WORKERS_PER_RACK: usize = 3;

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

    /// The cell's configuration: one pool, one service, two classes.
    pub fn configuration(&self) -> Configuration {
        let class = |name: &str, repeatable| Class {
            name: name.into(),
            expected_millis: u64::try_from(self.plan.expected_run.as_millis())
                .unwrap_or(1)
                .max(1),
            deadline_millis: u64::try_from(self.plan.deadline.as_millis()).unwrap_or(1),
            repeatable,
        };
        Configuration {
            version: FORMAT_VERSION,
            pools: vec![Pool {
                name: POOL.into(),
                max_queued_tasks: 50_000,
                backends: self.backend_entries(),
            }],
            services: vec![Service {
                name: SERVICE.into(),
                pool: POOL.into(),
                max_tasks_per_job: 820,
                classes: vec![class(REPEATABLE, true), class(ONCE, false)],
            }],
            tenants: self.plan.tenants.clone(),
        }
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

    fn zone(&self, index: usize) -> &str {
        &self.plan.zones[index % self.plan.zones.len()]
    }

    fn backend_entries(&self) -> Vec<Backend> {
        let real = self
            .agents
            .iter()
            .map(|agent| (agent.process.name().to_owned(), agent.dialed));
        let hollow = self
            .hollow
            .iter()
            .flat_map(|hollow| &hollow.agents)
            .cloned();
        real.chain(hollow)
            .enumerate()
            .map(|(index, (name, dialed))| self.backend_entry(index, &name, dialed))
            .collect()
    }

    fn backend_entry(&self, index: usize, name: &str, dialed: SocketAddr) -> Backend {
        Backend {
            name: name.into(),
            agent: dialed,
            zone: self.zone(index).into(),
            rack: format!("rack-{}", index / WORKERS_PER_RACK).as_str().into(),
            slots: self.plan.slots,
        }
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

    fn start_hollow(&self) -> Result<HollowNodes, LabError> {
        let metrics = self.block.free_address(FIRST_AGENT_HOST)?;
        let mut agents = Vec::new();
        let mut settings = HollowSettings {
            metrics,
            agents: Vec::new(),
        };
        for index in 0..self.plan.backends {
            let name = format!("hollow-{}", index + 1);
            let listen = self
                .block
                .free_address(host(FIRST_AGENT_HOST, index % 200))?;
            settings.agents.push(HollowAgent {
                node: self.node(&name, self.zone(index)),
                listen,
            });
            agents.push((name, listen));
        }
        let path = self.directory.path().join("hollow.json");
        let text = serde_json::to_vec_pretty(&settings)?;
        std::fs::write(&path, text).map_err(|source| LabError::Write {
            path: path.clone(),
            source,
        })?;
        let arguments = vec!["hollow".into(), "--settings".into(), path.into()];
        let process = NodeProcess::start("hollow", self.directory.path(), arguments)?;
        Ok(HollowNodes {
            process,
            metrics: format!("http://{metrics}"),
            agents,
        })
    }

    async fn start_agent(&self, index: usize) -> Result<AgentNode, LabError> {
        let name = format!("worker-{}", index + 1);
        let host = host(FIRST_AGENT_HOST, index);
        let agent = self.block.free_address(host)?;
        let metrics = self.block.free_address(host)?;
        let backend_address = self.block.free_address(host)?;
        let backend = self.start_backend(&name, backend_address)?;
        let settings = Settings {
            node: self.node(&name, self.zone(index)),
            log_level: self.plan.log_level,
            threads: 1,
            role: Role::Agent(AgentSettings {
                listen: agent,
                metrics,
                backend: format!("http://{backend_address}"),
            }),
        };
        let process = self.start_daemon(&name, &settings)?;
        let (dialed, relay) = if self.plan.relays {
            let dialed = self.block.free_address(host)?;
            (dialed, Some(Relay::start(dialed, agent).await?))
        } else {
            (agent, None)
        };
        Ok(AgentNode {
            process,
            backend,
            relay,
            metrics: format!("http://{metrics}"),
            backend_address: format!("http://{backend_address}"),
            dialed,
            agent,
        })
    }

    fn start_backend(&self, name: &str, address: SocketAddr) -> Result<NodeProcess, LabError> {
        let backend_name = format!("{name}-backend");
        let mut arguments = vec![
            "backend".into(),
            "--listen".into(),
            address.to_string().into(),
            "--name".into(),
            name.into(),
        ];
        if self.plan.histories {
            arguments.push("--history".into());
            arguments.push(self.history_of(&backend_name).into());
        }
        NodeProcess::start(&backend_name, self.directory.path(), arguments)
    }

    async fn start_gateways(&mut self, platform: SocketAddr) -> Result<(), LabError> {
        let mut addresses = Vec::new();
        for index in 0..self.plan.gateways {
            let host = host(FIRST_GATEWAY_HOST, index);
            let mesh = self.block.free_address(host)?;
            addresses.push((self.block.free_address(host)?, mesh));
        }
        for index in 0..self.plan.gateways {
            let name = gateway_name(index);
            let source = self.block.ip(host(FIRST_GATEWAY_HOST, index));
            let (api, mesh) = addresses[index];
            let mut peers = Vec::new();
            for (other, (_, mesh)) in addresses.iter().enumerate().skip(index + 1) {
                peers.push(PeerSettings {
                    name: gateway_name(other),
                    address: self.mesh_link(index, other, *mesh).await?,
                });
            }
            let settings = Settings {
                node: self.node(&name, self.zone(index)),
                log_level: self.plan.log_level,
                threads: 1,
                role: Role::Gateway(GatewaySettings {
                    api,
                    mesh,
                    source: Some(source),
                    peers,
                    platform: format!("http://{platform}"),
                    operator_token: OPERATOR_TOKEN.to_owned(),
                    max_body_bytes: 16 * 1024 * 1024,
                    configuration_poll_millis: 300,
                    machines_poll_millis: 500,
                }),
            };
            let process = self.start_daemon(&name, &settings)?;
            self.gateways.push(GatewayNode {
                process,
                api: format!("http://{api}"),
                source,
                mesh,
            });
        }
        Ok(())
    }

    async fn mesh_link(
        &mut self,
        dialer: usize,
        dialed: usize,
        mesh: SocketAddr,
    ) -> Result<SocketAddr, LabError> {
        if !self.plan.relays {
            return Ok(mesh);
        }
        let listen = self.block.free_address(host(FIRST_GATEWAY_HOST, dialed))?;
        let relay = Relay::start(listen, mesh).await?;
        self.mesh_relays.push((dialer, dialed, relay));
        Ok(listen)
    }

    fn node(&self, name: &str, zone: &str) -> Node {
        Node {
            name: name.to_owned(),
            zone: zone.into(),
            secret: SECRET.to_owned(),
            history: self.plan.histories.then(|| self.history_of(name)),
        }
    }

    fn start_daemon(&self, name: &str, settings: &Settings) -> Result<NodeProcess, LabError> {
        let path = self.directory.path().join(format!("{name}.json"));
        let text = serde_json::to_vec_pretty(settings)?;
        std::fs::write(&path, text).map_err(|source| LabError::Write {
            path: path.clone(),
            source,
        })?;
        let arguments = vec!["daemon".into(), "--settings".into(), path.into()];
        NodeProcess::start(name, self.directory.path(), arguments)
    }

    async fn await_platform(&self) -> Result<(), LabError> {
        let uri = format!("{}/machines", self.platform_address);
        self.await_success(&uri, "the platform").await
    }

    async fn await_gateways(&self) -> Result<(), LabError> {
        for gateway in &self.gateways {
            let uri = format!("{}/health/live", gateway.api);
            self.await_success(&uri, "a gateway").await?;
        }
        Ok(())
    }

    async fn await_success(&self, uri: &str, what: &'static str) -> Result<(), LabError> {
        let end = Instant::now() + START_PATIENCE;
        while Instant::now() < end {
            let response = self.http.exchange(Method::GET, uri, &[], Vec::new()).await;
            if response.is_ok_and(|response| response.status.is_success()) {
                return Ok(());
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Err(LabError::TimedOut { what })
    }
}

/// Name of a gateway by its index.
pub fn gateway_name(index: usize) -> String {
    format!("gateway-{}", index + 1)
}

fn host(first: u8, index: usize) -> u8 {
    u8::try_from(index).map_or(u8::MAX, |index| first.saturating_add(index))
}
